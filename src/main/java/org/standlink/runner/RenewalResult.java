/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.runner;

import java.util.List;
import org.standlink.job.RunEnd;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerIncarnation;

/**
 * The answer of a worker to a renewal.
 *
 * <p>{@code RenewalResult} is thread-safe and immutable.
 *
 * @param result the outcome of the call; the other components are valid only if it was carried out
 * @param incarnation the incarnation that answered, null if none did
 * @param running the runs that are running
 * @param ended the ends that have not been recorded yet
 */
public record RenewalResult(
        CallResult result,
        WorkerIncarnation incarnation,
        List<RunProgress> running,
        List<RunEnd> ended) {

    /**
     * Creates the answer to a call that was not carried out.
     *
     * @param result the outcome of the call
     * @return the answer, without lists
     */
    public static RenewalResult notDone(CallResult result) {
        return new RenewalResult(result, null, List.of(), List.of());
    }

    /**
     * Checks whether the worker answered with its lists.
     *
     * @return true if it did
     */
    public boolean isDone() {
        return result.kind() == CallResult.Kind.DONE;
    }
}
