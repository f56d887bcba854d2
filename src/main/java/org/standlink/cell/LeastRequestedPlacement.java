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
 * Chooses the worker with the most processors that nobody has asked for. Serving tasks are put
 * together; a best-effort task goes where it harms nobody, and waits when it would find no
 * processors.
 *
 * <p>{@code LeastRequestedPlacement} is thread-safe and immutable.
 */
final class LeastRequestedPlacement implements Placement {

    /** What a worker near the data is worth, in thousandths of a core. */
    private static final long NEAR_BONUS = 100_000;

    /** What a worker where the task failed last costs, in thousandths of a core. */
    private static final long FAILED_PENALTY = 1_000_000;

    /**
     * What each failure in a row on a worker costs, in thousandths of a core: half the idle room of
     * a common worker, since a worker that fails all that it starts is always idle.
     */
    private static final long FAILURE_PENALTY = 15_000;

    /** By how much that counts more for a task that has failed before and has few runs left. */
    private static final long LAST_CHANCE_FACTOR = 10;

    /** How much a serving task seeks others, for each core that they ask for. */
    private static final long TOGETHER_WEIGHT = 4;

    /** What full harm to a serving task costs, in thousandths of a core. */
    private static final long HARM_PENALTY = 200_000;

    /**
     * What a harmless place beside serving tasks is worth, in thousandths of a core: the places
     * where nobody serves are left to those that harm.
     */
    private static final long BESIDE_BONUS = 20_000;

    /**
     * The share of their wish that serving tasks are taken to use, in hundredths: an assumption,
     * not learnt from figures; too much leaves processors idle.
     */
    private static final long SERVING_PERCENT = 50;

    /** The share of a best-effort task's wish that must be free for it to start, in hundredths. */
    private static final long BEST_EFFORT_PERCENT = 70;

    /**
     * The tail of serving runs, as a share of their target, above which nothing is put beside them
     * that may harm them; throttling begins at 0.88.
     */
    private static final double TIGHT_TAIL = 0.8;

    /**
     * The share of a worker's processors that runs which may harm serving ones may ask for
     * together, each weighted by what is believed: an image that has all processors lengthens tails
     * up to fivefold, and tails are at about half of their target without it.
     */
    private static final double MOST_PRESSURE = 0.15;

    /** What such runs there cost a further one, for each core so weighted. */
    private static final double PRESSURE_WEIGHT = 4;

    /** What is believed of images. */
    private final WorkerInterference harm;

    /**
     * Constructor.
     *
     * @param harm what is believed of images
     */
    LeastRequestedPlacement(InterferenceTable harm) {
        this.harm = new WorkerInterference(harm);
    }

    @Override
    public WorkerEntry choose(TaskEntry task, Collection<WorkerEntry> workers) {
        boolean choosy =
                task.getStep().bestEffort()
                        && workers.stream()
                                .anyMatch(
                                        one ->
                                                harm(task, one)
                                                        < InterferenceTable.HIGH_INTERFERENCE);
        return best(task, workers, worker -> isFit(task, worker, choosy));
    }

    @Override
    public WorkerEntry chooseAllowingInterference(TaskEntry task, Collection<WorkerEntry> workers) {
        return best(
                task,
                workers,
                worker ->
                        Placement.isAllowed(task, worker)
                                && CrashIsolation.isStartAllowedAfterWaiting(task, worker));
    }

    @Override
    public WorkerEntry chooseAllowingCrashRisk(TaskEntry task, Collection<WorkerEntry> workers) {
        return best(task, workers, worker -> Placement.isAllowed(task, worker));
    }

    private WorkerEntry best(
            TaskEntry task, Collection<WorkerEntry> workers, Predicate<WorkerEntry> fit) {
        WorkerEntry best = null;
        long bestScore = Long.MIN_VALUE;
        for (WorkerEntry worker : workers) {
            if (!fit.test(worker)) {
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
        double belief = harm(task, worker);
        if (belief < InterferenceTable.LOW_INTERFERENCE) {
            return true;
        }
        boolean tight = worker.getMetrics().getMaxTailRatio() > TIGHT_TAIL;
        return !tight
                && belief < InterferenceTable.HIGH_INTERFERENCE
                && !isCrowded(task, worker, belief);
    }

    private boolean isCrowded(TaskEntry task, WorkerEntry worker, double belief) {
        double more = belief * task.getStep().demand().milliCores();
        long capacity = worker.getDescription().capacity().milliCores();
        double before = harm.getPressure(worker);
        return before > 0 && before + more > MOST_PRESSURE * capacity;
    }

    // -----------------------------------------------------------------------
    private boolean isFit(TaskEntry task, WorkerEntry worker, boolean choosy) {
        if (!Placement.isAllowed(task, worker) || !CrashIsolation.isStartAllowed(task, worker)) {
            return false;
        }
        if (!task.getStep().bestEffort()) {
            return true;
        }
        return idleMilliCores(worker) >= wanted(task.getStep(), worker)
                && (!choosy || isInterferenceAcceptable(task, worker));
    }

    private static long wanted(StepDefinition step, WorkerEntry worker) {
        Resources capacity = worker.getDescription().capacity();
        long wish = Math.min(step.demand().milliCores(), capacity.milliCores());
        return wish * BEST_EFFORT_PERCENT / 100;
    }

    private static long idleMilliCores(WorkerEntry worker) {
        long capacity = worker.getDescription().capacity().milliCores();
        long serving = worker.getLoad().getServingMilliCores() * SERVING_PERCENT / 100;
        return capacity - serving - worker.getLoad().getBatchMilliCores();
    }

    private double harm(TaskEntry task, WorkerEntry worker) {
        return harm.get(task.getStep().image(), worker);
    }

    private long apartScore(TaskEntry task, WorkerEntry worker) {
        if (task.getStep().longRunning()) {
            return worker.getLoad().getServingMilliCores() * TOGETHER_WEIGHT;
        }
        if (!task.getStep().bestEffort() || worker.getLoad().getServingMilliCores() == 0) {
            return 0;
        }
        double belief = harm(task, worker);
        if (belief < InterferenceTable.LOW_INTERFERENCE) {
            return BESIDE_BONUS;
        }
        return -(long) (belief * HARM_PENALTY + harm.getPressure(worker) * PRESSURE_WEIGHT);
    }

    private static long failurePenalty(TaskEntry task, WorkerEntry worker) {
        long penalty = worker.getHealth().getConsecutiveFailures() * FAILURE_PENALTY;
        return task.getFailures() > 0 ? penalty * LAST_CHANCE_FACTOR : penalty;
    }

    private long score(TaskEntry task, WorkerEntry worker) {
        String rack = task.getStep().dataRack();
        boolean near = !rack.isEmpty() && worker.getDescription().labels().contains(rack);
        boolean failedHere = worker.getIncarnation().equals(task.getFailedOn());
        return idleMilliCores(worker)
                + apartScore(task, worker)
                + (near ? NEAR_BONUS : 0)
                - (failedHere ? FAILED_PENALTY : 0)
                - failurePenalty(task, worker)
                - CrashIsolation.penalty(task, worker);
    }
}
