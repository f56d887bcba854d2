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
package org.standlink.job;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.standlink.Resources;

/**
 * One step of a submitted job: equal tasks that run side by side.
 *
 * <p>It is written as an array, so new parts may only be added at its end.
 *
 * <p>{@code StepDefinition} is thread-safe and immutable.
 *
 * @param count the number of tasks
 * @param demand what each task asks for
 * @param estimatedMillis a rough guess of a task's run time, in milliseconds; 0 if none
 * @param after the earlier steps that must be done first
 * @param checkpointing whether a task can go on from a saved state
 * @param gang whether the tasks only work together
 * @param rackLocal whether a gang slows down when it spans racks
 * @param requiredLabel the label that a worker must have, empty if any will do
 * @param dataRack the rack where the data is, empty if anywhere
 * @param maxPerWorker the most tasks of the step on one worker, 0 for no limit
 * @param speculative whether copies of a task may run side by side
 * @param longRunning whether tasks run until the job is cancelled
 * @param image what the tasks run, empty if not told
 * @param targetMillis the tail latency that a serving task is to keep, in milliseconds; 0 if none
 * @param bestEffort whether the tasks use only processors that others leave idle
 * @param maxUnavailable how many tasks the system may hold away at once, by its own doing
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StepDefinition(
        int count,
        Resources demand,
        long estimatedMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean rackLocal,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean longRunning,
        String image,
        double targetMillis,
        boolean bestEffort,
        int maxUnavailable) {

    /**
     * Gets what a task takes of a worker's room: a best-effort task takes no processors of it.
     *
     * @return the amount that must be free on the worker
     */
    public Resources requiredCapacity() {
        return bestEffort
                ? new Resources(0, demand.memoryMegabytes(), demand.accelerators())
                : demand;
    }
}
