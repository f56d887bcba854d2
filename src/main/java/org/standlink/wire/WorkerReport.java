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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.standlink.job.RunEnd;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;

/**
 * The state of one worker as reported by its agent.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code WorkerReport} is thread-safe and immutable.
 *
 * @param worker the description that the worker last sent
 * @param reachable whether the worker answered the last call
 * @param lapsed whether all runs of the worker have certainly ended because its lease expired
 * @param runsKnown whether the agent has received the worker's list of runs
 * @param running the runs that are running
 * @param ended the run ends that have not been recorded yet
 * @param refused the runs that have certainly not been started
 * @param gone the runs that were stopped and no longer exist, without an end
 * @param throttled the best-effort images whose runs are throttled
 * @param listsComplete whether the lists are complete and were received under the fence named by
 *     the report, so that the worker refuses all earlier orders
 * @param inDoubt the runs that the worker's next incarnation under the same id may still start,
 *     since the outcome of a start call is unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkerReport(
        WorkerDescription worker,
        boolean reachable,
        boolean lapsed,
        boolean runsKnown,
        List<RunProgress> running,
        List<RunEnd> ended,
        List<StartRefusal> refused,
        List<RunId> gone,
        List<ImageShare> throttled,
        boolean listsComplete,
        List<RunId> inDoubt) {

    /**
     * Creates a report.
     *
     * @param inDoubt null in reports of older programs
     */
    public WorkerReport {
        inDoubt = inDoubt == null ? List.of() : inDoubt;
    }
}
