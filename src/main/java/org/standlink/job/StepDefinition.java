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
 * One step of a submitted job: a number of identical tasks that may run concurrently.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code StepDefinition} is thread-safe and immutable.
 *
 * @param count the number of tasks
 * @param demand the resources requested by each task
 * @param estimatedMillis a rough estimate of the run time of a task, in milliseconds; 0 if none
 * @param after the indices of the earlier steps that must be completed first
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks must run together
 * @param rackLocal whether a gang slows down when it spans racks
 * @param requiredLabel the label that a worker must have, empty if none is required
 * @param dataRack the rack that holds the input data, empty if no rack is preferred
 * @param maxPerWorker the maximum number of tasks of the step on one worker, 0 for no limit
 * @param speculative whether copies of a task may run concurrently
 * @param longRunning whether tasks run until the job is cancelled
 * @param image the image that the tasks run, empty if not given
 * @param targetMillis the target tail latency of a serving task, in milliseconds; 0 if none
 * @param bestEffort whether the tasks use only processors that others leave idle
 * @param maxUnavailable the maximum number of tasks that the scheduler may voluntarily keep from
 *     running at the same time
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
     * Gets the part of a worker's capacity that a task occupies. A best-effort task occupies no
     * processors.
     *
     * @return the resources that must be free on the worker
     */
    public Resources requiredCapacity() {
        return bestEffort
                ? new Resources(0, demand.memoryMegabytes(), demand.accelerators())
                : demand;
    }
}
