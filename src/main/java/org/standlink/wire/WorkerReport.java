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
 * What an agent tells of one worker.
 *
 * <p>It is written as an array, so new parts may only be added at its end.
 *
 * <p>{@code WorkerReport} is thread-safe and immutable.
 *
 * @param worker what the worker said of itself last
 * @param reachable whether the worker answered the last call
 * @param lapsed whether all that ran there is surely over, since the worker's lease has run out
 * @param runsKnown whether the agent has asked the worker what it runs
 * @param running what runs
 * @param ended the ends that have not been recorded yet
 * @param refused runs that were surely not started
 * @param gone runs that were stopped and are not there any more, without an end
 * @param throttled the best-effort images whose runs may not work all the time
 * @param listsComplete whether the lists are whole and were given under the fence that the report
 *     names, so that the worker refuses all that was ordered before
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
        boolean listsComplete) {}
