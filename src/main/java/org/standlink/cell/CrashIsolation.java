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

import java.util.function.Predicate;

/**
 * Isolates tasks that may crash their workers, so that the next crash identifies the cause and
 * costs few other runs.
 *
 * <p>{@code CrashIsolation} has no state; its arguments are confined to the leader's event loop.
 */
final class CrashIsolation {

    /**
     * The penalty of a worker for each other task on trial there, in thousandths of a core. It is
     * nearly the capacity of a common worker, so that such tasks spread out as long as any other
     * worker has capacity.
     */
    private static final long TRIAL_PENALTY = 15_000;

    /**
     * The penalty of a worker for each run that a crash would cost, for a task to be isolated, in
     * thousandths of a core.
     */
    private static final long RUN_AT_RISK_PENALTY = 2000;

    private CrashIsolation() {}

    /**
     * Checks whether a task may start beside the tasks that have just started on a worker.
     *
     * @param task the task
     * @param worker the worker
     * @return false if the task, or one of the others, is to be isolated
     */
    static boolean isStartAllowed(TaskEntry task, WorkerEntry worker) {
        return isStartAllowed(task, worker, CrashHistory::requiresIsolation);
    }

    /**
     * Checks the same for a task that has waited for a worker.
     *
     * @param task the task
     * @param worker the worker
     * @return false if the task, or one of the others, has to wait until it can be isolated
     */
    static boolean isStartAllowedAfterWaiting(TaskEntry task, WorkerEntry worker) {
        return isStartAllowed(task, worker, CrashHistory::mustWaitForIsolation);
    }

    private static boolean isStartAllowed(
            TaskEntry task, WorkerEntry worker, Predicate<CrashHistory> needsIsolation) {
        boolean isolated = needsIsolation.test(task.getTrial().getCrashHistory());
        for (TaskEntry other : worker.listTasks()) {
            if (!other.getTrial().isProven()
                    && (isolated || needsIsolation.test(other.getTrial().getCrashHistory()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Computes the placement penalty of a worker.
     *
     * @param task the task
     * @param worker the worker
     * @return the penalty, in thousandths of a core
     */
    static long computePenalty(TaskEntry task, WorkerEntry worker) {
        long onTrial = 0;
        for (TaskEntry other : worker.listTasks()) {
            onTrial += other.getTrial().isOnTrial() ? 1 : 0;
        }
        boolean isolated = task.getTrial().getCrashHistory().requiresIsolation();
        long riskPenalty = isolated ? worker.listTasks().size() * RUN_AT_RISK_PENALTY : 0;
        return onTrial * TRIAL_PENALTY + riskPenalty;
    }
}
