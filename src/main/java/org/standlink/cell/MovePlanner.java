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
 * Moves best-effort runs that are throttled in favour of serving runs to workers where little
 * interference is expected. A job ends with its slowest task, and a run with a checkpoint loses
 * little when it is stopped.
 *
 * <p>{@code MovePlanner} is not thread-safe; it is confined to the leader's event loop.
 */
final class MovePlanner {

    /**
     * How long a run must have been throttled before it is moved, in milliseconds: two throttling
     * decisions, so that a single imprecise measurement moves nothing.
     */
    private static final long MIN_THROTTLED_MILLIS = 600;

    /**
     * The interval between two rounds of moves, in milliseconds; a stop is reported within half of
     * it.
     */
    private static final long ROUND_INTERVAL_MILLIS = 500;

    /** The factor by which the time saved by a move must exceed its cost. */
    private static final double MIN_GAIN_FACTOR = 2;

    private static final EventLog LOG = EventLog.of(MovePlanner.class);

    private final WorkerRegistry workers;

    private final Placement placement;

    private final OrderDispatcher orders;

    private final CommitQueue commits;

    private final MoveCostEstimator cost;

    /** The time of the last round, on the leader's clock. */
    private long lastRoundAt;

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
     * Stops throttled runs that can continue on another worker, at most once per interval; the
     * scheduler then restarts them there.
     *
     * <p>Each worker is the target of one move per round, which avoids concentrating the runs.
     * Nothing is moved while the store is unresponsive: the stop would be delayed, and by then the
     * idle capacity on which the decision rested would be taken by later assignments.
     *
     * @param now the time on the leader's clock, in milliseconds
     */
    void moveThrottledRuns(long now) {
        if (now - lastRoundAt < ROUND_INTERVAL_MILLIS || commits.isStalled()) {
            return;
        }
        lastRoundAt = now;
        List<TaskEntry> moved = new ArrayList<>();
        Set<WorkerEntry> targets = new HashSet<>();
        for (WorkerEntry worker : workers.getWorkers()) {
            if (worker.getDescription() != null) {
                moveFrom(worker, now, targets, moved);
            }
        }
        orders.stopAfterCommit(moved);
    }

    // -----------------------------------------------------------------------
    private void moveFrom(
            WorkerEntry worker, long now, Set<WorkerEntry> targets, List<TaskEntry> moved) {
        for (TaskEntry task : worker.listTasks()) {
            if (!isMovable(task, worker, now)) {
                continue;
            }
            List<WorkerEntry> candidates = new ArrayList<>(findOtherUsable(worker, now));
            candidates.removeAll(targets);
            WorkerEntry target = placement.choose(task, candidates);
            boolean better =
                    target != null
                            && placement.isInterferenceAcceptable(task, target)
                            && !target.getMetrics().isThrottled(task.getStep().image(), now, 0);
            if (!better) {
                continue;
            }
            task.beginMoveFromThrottled(now);
            targets.add(target);
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

    private List<WorkerEntry> findOtherUsable(WorkerEntry worker, long now) {
        return workers.findUsable(worker.getDescription().service(), now).stream()
                .filter(other -> other != worker)
                .toList();
    }

    /**
     * Requires that a move saves twice its cost, because the run may be throttled on the next
     * worker as well.
     */
    private boolean isGainSufficient(TaskEntry task, WorkerEntry worker, long now) {
        double share = worker.getMetrics().getRunShare(task.getStep().image());
        double gain = task.getProgress().getRemainingMillis(now) * (1 - share);
        return gain > MIN_GAIN_FACTOR * cost.estimateMillis(now);
    }

    private boolean isMovable(TaskEntry task, WorkerEntry worker, long now) {
        StepDefinition step = task.getStep();
        return step.bestEffort()
                && step.checkpointing()
                && !step.gang()
                && task.isRunning()
                && !workers.getInDoubtRuns().containsTask(task.getName())
                && worker.getMetrics().isThrottled(step.image(), now, MIN_THROTTLED_MILLIS)
                && isGainSufficient(task, worker, now);
    }
}
