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
 * Selects the worker for a task's next run.
 *
 * <p>Implementations decide from their arguments and the estimated interference only. Whether any
 * worker is found for a task without a limit per worker that requires no isolation depends only on
 * its demand, label, image and kind; {@link WorkerChoice} relies on this. They need not be
 * thread-safe; they are used on the leader's event loop.
 */
interface Placement {

    /**
     * Selects a worker.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if the task has to wait
     */
    WorkerEntry choose(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Selects a worker with sufficient free capacity for a task that has waited, even if the task
     * will share overcommitted processors or be throttled there.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if none has sufficient capacity
     */
    WorkerEntry chooseAllowingInterference(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Selects a worker with sufficient free capacity for a task that cannot wait any longer, even
     * if this task or one already running there may crash the worker.
     *
     * @param task the task
     * @param workers the workers that may be used
     * @return the worker, null if none has sufficient capacity
     */
    WorkerEntry chooseAllowingCrashRisk(TaskEntry task, Collection<WorkerEntry> workers);

    /**
     * Checks whether a task is not expected to lengthen the tail latency of serving runs beyond
     * their targets.
     *
     * @param task the best-effort task
     * @param worker the worker
     * @return true if the task is expected to run there without being throttled
     */
    boolean isInterferenceAcceptable(TaskEntry task, WorkerEntry worker);

    /**
     * Checks the constraints that hold for every placement: free capacity, the required label and
     * the maximum number of tasks of the step on one worker.
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
