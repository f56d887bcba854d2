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
import java.util.function.Predicate;
import org.standlink.Resources;
import org.standlink.job.StepDefinition;
import org.standlink.policy.InterferenceTable;

/**
 * Selects the worker with the most processors that are not requested by other tasks.
 *
 * <p>Serving tasks are packed together. A best-effort task is placed where little interference with
 * serving tasks is expected, and waits if the idle processors would not suffice.
 *
 * <p>{@code LeastRequestedPlacement} is not thread-safe, since it caches interference estimates; it
 * is confined to the leader's event loop.
 */
final class LeastRequestedPlacement implements Placement {

    /** The score of a worker on the rack that holds the task's data, in thousandths of a core. */
    private static final long DATA_LOCALITY_BONUS_MILLICORES = 100_000;

    /**
     * The penalty of the worker where the task failed, stalled or was throttled last, in
     * thousandths of a core.
     */
    private static final long LAST_FAILURE_PENALTY_MILLICORES = 1_000_000;

    /**
     * The penalty for each consecutive failure on a worker, in thousandths of a core: half the idle
     * capacity of a typical worker, because a worker that fails every run is always idle and would
     * otherwise be preferred.
     */
    private static final long CONSECUTIVE_FAILURE_PENALTY_MILLICORES = 15_000;

    /** The factor of that penalty for a task that has failed before and has few attempts left. */
    private static final long FAILED_TASK_PENALTY_FACTOR = 10;

    /** The weight of the processors requested by serving tasks, in the score of a serving task. */
    private static final long SERVING_AFFINITY_WEIGHT = 4;

    /** The penalty for the highest interference with a serving task, in thousandths of a core. */
    private static final long INTERFERENCE_PENALTY_MILLICORES = 200_000;

    /**
     * The score of a worker with serving tasks for a task that does not interfere with them, in
     * thousandths of a core. Workers without serving tasks are left to tasks that interfere.
     */
    private static final long COLOCATION_BONUS_MILLICORES = 20_000;

    /**
     * The share of their requested processors that serving tasks are assumed to use, in percent. A
     * higher share leaves processors idle.
     */
    static final long SERVING_USAGE_PERCENT = 50;

    /**
     * The share of its requested processors that must be idle for a best-effort task to start, in
     * percent.
     */
    static final long MIN_BEST_EFFORT_PERCENT = 70;

    /**
     * The tail latency of serving runs, relative to their target, above which no interfering task
     * is placed beside them. Throttling begins at 0.88.
     */
    private static final double MAX_TAIL_RATIO = 0.8;

    /**
     * The share of a worker's processors that interfering tasks may request together, each weighted
     * by its estimated interference. An image that uses all processors lengthens tail latency up to
     * fivefold, and without it the tail latency is about half of the target.
     */
    private static final double MAX_PRESSURE_RATIO = 0.15;

    /** The penalty for each weighted core that such tasks already request on the worker. */
    private static final double PRESSURE_WEIGHT = 4;

    private final WorkerInterference interference;

    LeastRequestedPlacement(InterferenceTable interferenceTable) {
        this.interference = new WorkerInterference(interferenceTable);
    }

    @Override
    public WorkerEntry choose(TaskEntry task, Collection<WorkerEntry> workers) {
        boolean avoidsInterference =
                task.getStep().bestEffort()
                        && workers.stream()
                                .anyMatch(
                                        candidate ->
                                                estimateInterference(task, candidate)
                                                        < InterferenceTable.HIGH_INTERFERENCE);
        return chooseBest(task, workers, worker -> isEligible(task, worker, avoidsInterference));
    }

    @Override
    public WorkerEntry chooseAllowingInterference(TaskEntry task, Collection<WorkerEntry> workers) {
        return chooseBest(
                task,
                workers,
                worker ->
                        Placement.isAllowed(task, worker)
                                && CrashIsolation.isStartAllowedAfterWaiting(task, worker));
    }

    @Override
    public WorkerEntry chooseAllowingCrashRisk(TaskEntry task, Collection<WorkerEntry> workers) {
        return chooseBest(task, workers, worker -> Placement.isAllowed(task, worker));
    }

    private WorkerEntry chooseBest(
            TaskEntry task, Collection<WorkerEntry> workers, Predicate<WorkerEntry> eligible) {
        WorkerEntry best = null;
        long bestScore = Long.MIN_VALUE;
        for (WorkerEntry worker : workers) {
            if (!eligible.test(worker)) {
                continue;
            }
            long score = score(task, worker);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    @Override
    public boolean isInterferenceAcceptable(TaskEntry task, WorkerEntry worker) {
        double estimate = estimateInterference(task, worker);
        if (estimate < InterferenceTable.LOW_INTERFERENCE) {
            return true;
        }
        boolean nearTarget = worker.getMetrics().getMaxTailRatio() > MAX_TAIL_RATIO;
        return !nearTarget
                && estimate < InterferenceTable.HIGH_INTERFERENCE
                && !isCrowded(task, worker, estimate);
    }

    private boolean isCrowded(TaskEntry task, WorkerEntry worker, double estimate) {
        double additional = estimate * task.getStep().demand().milliCores();
        long capacity = worker.getDescription().capacity().milliCores();
        double present = interference.getPressure(worker);
        return present > 0 && present + additional > MAX_PRESSURE_RATIO * capacity;
    }

    // -----------------------------------------------------------------------
    private boolean isEligible(TaskEntry task, WorkerEntry worker, boolean avoidsInterference) {
        if (!Placement.isAllowed(task, worker) || !CrashIsolation.isStartAllowed(task, worker)) {
            return false;
        }
        if (!task.getStep().bestEffort()) {
            return true;
        }
        return idleMilliCores(worker) >= requiredIdleMilliCores(task.getStep(), worker)
                && (!avoidsInterference || isInterferenceAcceptable(task, worker));
    }

    private static long requiredIdleMilliCores(StepDefinition step, WorkerEntry worker) {
        Resources capacity = worker.getDescription().capacity();
        long requested = Math.min(step.demand().milliCores(), capacity.milliCores());
        return requested * MIN_BEST_EFFORT_PERCENT / 100;
    }

    /**
     * Estimates the processors that the tasks on a worker leave idle.
     *
     * @param worker the worker, which an agent must have reported
     * @return the processors, in thousandths of a core; negative if the tasks request more
     */
    static long idleMilliCores(WorkerEntry worker) {
        long capacity = worker.getDescription().capacity().milliCores();
        long serving = worker.getLoad().getServingMilliCores() * SERVING_USAGE_PERCENT / 100;
        return capacity - serving - worker.getLoad().getBatchMilliCores();
    }

    private double estimateInterference(TaskEntry task, WorkerEntry worker) {
        return interference.get(task.getStep().image(), worker);
    }

    private long colocationScore(TaskEntry task, WorkerEntry worker) {
        if (task.getStep().longRunning()) {
            return worker.getLoad().getServingMilliCores() * SERVING_AFFINITY_WEIGHT;
        }
        if (!task.getStep().bestEffort() || worker.getLoad().getServingMilliCores() == 0) {
            return 0;
        }
        double estimate = estimateInterference(task, worker);
        if (estimate < InterferenceTable.LOW_INTERFERENCE) {
            return COLOCATION_BONUS_MILLICORES;
        }
        return -(long)
                (estimate * INTERFERENCE_PENALTY_MILLICORES
                        + interference.getPressure(worker) * PRESSURE_WEIGHT);
    }

    private static long failurePenalty(TaskEntry task, WorkerEntry worker) {
        long penalty =
                worker.getHealth().getConsecutiveFailures()
                        * CONSECUTIVE_FAILURE_PENALTY_MILLICORES;
        return task.getFailures() > 0 ? penalty * FAILED_TASK_PENALTY_FACTOR : penalty;
    }

    private long score(TaskEntry task, WorkerEntry worker) {
        String rack = task.getStep().dataRack();
        boolean nearData = !rack.isEmpty() && worker.getDescription().labels().contains(rack);
        boolean failedHere = worker.getIncarnation().equals(task.getFailedOn());
        return idleMilliCores(worker)
                + colocationScore(task, worker)
                + (nearData ? DATA_LOCALITY_BONUS_MILLICORES : 0)
                - (failedHere ? LAST_FAILURE_PENALTY_MILLICORES : 0)
                - failurePenalty(task, worker)
                - CrashIsolation.computePenalty(task, worker);
    }
}
