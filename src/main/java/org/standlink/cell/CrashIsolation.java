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
 * Keeps tasks apart that may crash their workers, so that the next crash tells which one does, and
 * takes little else with it.
 */
final class CrashIsolation {

    /**
     * What each other task on trial costs a place, in thousandths of a core: nearly the room of a
     * common worker, so that they spread as long as any other place has room.
     */
    private static final long TRIAL_PENALTY = 15_000;

    /** What each run that might be lost costs a place for a task to be tried apart. */
    private static final long STAKE_PENALTY = 2000;

    /** No instances. */
    private CrashIsolation() {}

    /**
     * Checks whether a task may begin beside what has just begun on a worker.
     *
     * @param task the task
     * @param worker the worker
     * @return false if the task, or one there, is to be tried apart
     */
    static boolean isStartAllowed(TaskEntry task, WorkerEntry worker) {
        return isStartAllowed(task, worker, CrashHistory::requiresIsolation);
    }

    /**
     * Checks the same for a task that has waited.
     *
     * @param task the task
     * @param worker the worker
     * @return false if the task, or one there, is to be tried apart and to wait for that
     */
    static boolean isStartAllowedAfterWaiting(TaskEntry task, WorkerEntry worker) {
        return isStartAllowed(task, worker, CrashHistory::mustWaitForIsolation);
    }

    private static boolean isStartAllowed(
            TaskEntry task, WorkerEntry worker, Predicate<CrashHistory> isApart) {
        boolean apart = isApart.test(task.getTrial().getCrashes());
        for (TaskEntry other : worker.listTasks()) {
            if (!other.getTrial().isProven()
                    && (apart || isApart.test(other.getTrial().getCrashes()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Works out what speaks against a worker.
     *
     * @param task the task
     * @param worker the worker
     * @return the penalty, in thousandths of a core
     */
    static long penalty(TaskEntry task, WorkerEntry worker) {
        long onTrial = 0;
        for (TaskEntry other : worker.listTasks()) {
            onTrial += other.getTrial().isOnTrial() ? 1 : 0;
        }
        boolean apart = task.getTrial().getCrashes().requiresIsolation();
        long stake = apart ? worker.listTasks().size() * STAKE_PENALTY : 0;
        return onTrial * TRIAL_PENALTY + stake;
    }
}
