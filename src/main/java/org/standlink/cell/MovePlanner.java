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

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.standlink.job.StepDefinition;
import org.standlink.process.EventLog;

/**
 * Moves best-effort runs that are throttled for the sake of serving ones to workers where they harm
 * nobody. A job ends with its slowest task, and a run that saves its state loses little by a stop.
 *
 * <p>{@code MovePlanner} is not thread-safe; the leader's loop owns it.
 */
final class MovePlanner {

    /**
     * How long a run must have been held back before it is moved, in milliseconds; two decisions on
     * throttling, so that one rough figure moves nothing.
     */
    private static final long HELD_BACK_MILLIS = 600;

    /**
     * The time between two rounds of moves, in milliseconds; a stop is listed within half of it.
     */
    private static final long ROUND_MILLIS = 500;

    /** How many times its cost a move must save. */
    private static final double LEAST_GAIN = 2;

    /** The log. */
    private static final EventLog LOG = EventLog.of(MovePlanner.class);

    /** The workers. */
    private final WorkerRegistry workers;

    /** Chooses workers. */
    private final Placement placement;

    /** Tells agents what to do. */
    private final OrderDispatcher orders;

    /** Tells whether the store takes anything. */
    private final CommitQueue commits;

    /** What a move costs. */
    private final MoveCostEstimator cost;

    /** When the last round was, on the leader's clock. */
    private long roundAt;

    /**
     * Constructor.
     *
     * @param workers the workers
     * @param placement chooses workers
     * @param orders tells agents what to do
     * @param commits tells whether the store takes anything
     * @param cost what a move costs
     */
    MovePlanner(
            WorkerRegistry workers,
            Placement placement,
            OrderDispatcher orders,
            CommitQueue commits,
            MoveCostEstimator cost) {
        this.workers = workers;
        this.placement = placement;
        this.orders = orders;
        this.commits = commits;
        this.cost = cost;
    }

    /**
     * Stops runs that can go on elsewhere, if it is time to; the scheduler starts them there. Each
     * worker is the aim of one move a round, so that no crowd forms. Nothing is moved while the
     * store is silent: its stop would wait, and by then the idle room that it was decided for is
     * taken by what was assigned meanwhile.
     *
     * @param now the time on the leader's clock, in milliseconds
     */
    void moveThrottledRuns(long now) {
        if (now - roundAt < ROUND_MILLIS || commits.isStalled()) {
            return;
        }
        roundAt = now;
        List<TaskEntry> moved = new ArrayList<>();
        Set<WorkerEntry> taken = new HashSet<>();
        for (WorkerEntry worker : workers.getWorkers()) {
            if (worker.getDescription() != null) {
                moveFrom(worker, now, taken, moved);
            }
        }
        orders.stopAfterCommit(moved);
    }

    // -----------------------------------------------------------------------
    private void moveFrom(
            WorkerEntry worker, long now, Set<WorkerEntry> taken, List<TaskEntry> moved) {
        for (TaskEntry task : worker.listTasks()) {
            if (!isMovable(task, worker, now)) {
                continue;
            }
            List<WorkerEntry> others = new ArrayList<>(usable(worker, now));
            others.removeAll(taken);
            WorkerEntry target = placement.choose(task, others);
            boolean better =
                    target != null
                            && placement.isInterferenceAcceptable(task, target)
                            && !target.getMetrics().isThrottled(task.getStep().image(), now, 0);
            if (!better) {
                continue;
            }
            task.beginMoveFromThrottled(now);
            taken.add(target);
            moved.add(task);
            LOG.info("moving-throttled")
                    .with("run", task.getRun())
                    .with("worker", worker.getIncarnation())
                    .with("aim", target.getIncarnation())
                    .with(
                            "remaining-millis",
                            Math.round(task.getProgress().getRemainingMillis(now)))
                    .with("cost-millis", Math.round(cost.estimateMillis(now)))
                    .with("worst-tail", Math.round(worker.getMetrics().getMaxTailRatio() * 100))
                    .write();
        }
    }

    private List<WorkerEntry> usable(WorkerEntry worker, long now) {
        return workers.findUsable(worker.getDescription().service(), now).stream()
                .filter(other -> other != worker)
                .toList();
    }

    /** A move must save twice its cost, since the next place may be held back as well. */
    private boolean isWorthIt(TaskEntry task, WorkerEntry worker, long now) {
        double share = worker.getMetrics().getRunShare(task.getStep().image());
        double gain = task.getProgress().getRemainingMillis(now) * (1 - share);
        return gain > LEAST_GAIN * cost.estimateMillis(now);
    }

    private boolean isMovable(TaskEntry task, WorkerEntry worker, long now) {
        StepDefinition step = task.getStep();
        return step.bestEffort()
                && step.checkpointing()
                && !step.gang()
                && task.isRunning()
                && worker.getMetrics().isThrottled(step.image(), now, HELD_BACK_MILLIS)
                && isWorthIt(task, worker, now);
    }
}
