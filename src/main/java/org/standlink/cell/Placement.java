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
package org.standlink.cell;

import java.util.Collection;
import org.standlink.job.StepDefinition;

/**
 * Chooses the worker for a task's next run.
 *
 * <p>Implementations are immutable and decide from their arguments only.
 */
interface Placement {

    /**
     * Chooses a worker.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if the task has to wait
     */
    WorkerEntry choose(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Chooses a worker for a task that has waited long enough: one with room, also if the task will
     * be crowded or throttled there.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if none has room
     */
    WorkerEntry chooseAllowingInterference(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Chooses a worker for a task that can wait no longer: one with room, also if the task or one
     * there may crash it.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if none has room
     */
    WorkerEntry chooseAllowingCrashRisk(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Checks whether a best-effort task is not expected to lengthen the tails of serving runs
     * beyond their targets.
     *
     * @param task the task
     * @param worker the worker
     * @return true if it may work there all the time, as far as is known
     */
    boolean isInterferenceAcceptable(TaskEntry task, WorkerEntry worker);

    /**
     * Checks what holds for every placement: room, label and the most tasks of the step.
     *
     * @param task the task
     * @param worker the worker
     * @return true if the task may run there
     */
    static boolean isAllowed(TaskEntry task, WorkerEntry worker) {
        StepDefinition step = task.getStep();
        boolean labelled =
                step.requiredLabel().isEmpty()
                        || worker.getDescription().labels().contains(step.requiredLabel());
        return labelled
                && step.requiredCapacity().fitsIn(worker.getFreeCapacity())
                && (step.maxPerWorker() == 0
                        || worker.countTasksOfStep(task.getName()) < step.maxPerWorker());
    }
}
