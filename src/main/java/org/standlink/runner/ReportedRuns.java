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
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;

/**
 * The runs that a worker listed last.
 *
 * <p>{@code ReportedRuns} is thread-safe and immutable.
 *
 * @param running the runs that are running
 * @param ended the ends that have not been recorded
 */
record ReportedRuns(List<RunProgress> running, List<RunEnd> ended) {

    /** Empty lists. */
    static final ReportedRuns NONE = new ReportedRuns(List.of(), List.of());

    /**
     * Checks whether a run is listed as running.
     *
     * @param run the run
     * @return true if it is listed
     */
    boolean isRunning(RunId run) {
        return running.stream().anyMatch(progress -> progress.run().equals(run));
    }

    /**
     * Checks whether the end of a run is listed.
     *
     * @param run the run
     * @return true if it is listed
     */
    boolean hasEnded(RunId run) {
        return ended.stream().anyMatch(end -> end.run().equals(run));
    }
}
