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
package org.standlink.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.Resources;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * Plans one round: which waiting tasks go where, which wait and why, and which ordinary tasks make
 * room for urgent ones.
 *
 * <p>Urgent tasks go first, then those that must be done soonest, then by priority, then by the
 * team that holds the smallest share of its quota. A task that cannot be placed never holds back
 * the others. When there is no room, some ordinary tasks are assigned ahead as a backlog, so that
 * workers stay busy while the log is out of reach.
 *
 * <p>{@code TaskPlanner} is as thread-safe as its placement policy.
 */
public final class TaskPlanner {

    /** The most tasks assigned in one round, which bounds the record in the log. */
    public static final int MAX_PLACEMENTS = 64;

    /** The most waiting tasks looked at in one round, which bounds its time. */
    public static final int MAX_CONSIDERED = 2000;

    /** What goes first: what is being stopped anyway, what loses nothing, what is large. */
    private static final Comparator<RunningTask> ORDER_OF_EVICTION =
            Comparator.comparing((RunningTask task) -> !task.stopping())
                    .thenComparing(task -> !task.checkpointable())
                    .thenComparing(task -> -task.granted().milliCores());

    /** Chooses workers. */
    private final PlacementPolicy placement;

    /** Estimates what tasks take. */
    private final SizeEstimator sizes;

    /** The most tasks assigned ahead to one worker. */
    private final int backlogPerWorker;

    /**
     * Constructor.
     *
     * @param placement chooses workers
     * @param sizes estimates what tasks take
     * @param backlogPerWorker the most tasks assigned ahead to one worker
     */
    public TaskPlanner(PlacementPolicy placement, SizeEstimator sizes, int backlogPerWorker) {
        this.placement = placement;
        this.sizes = sizes;
        this.backlogPerWorker = backlogPerWorker;
    }

    /**
     * Plans one round.
     *
     * @param waiting the tasks that want to be placed
     * @param workers the workers, with what they hold; changed by the planning
     * @param running the tasks that hold room
     * @param quotas what the teams hold; changed by the planning
     * @return the plan
     */
    public PlanningResult plan(
            List<TaskDemand> waiting,
            List<WorkerView> workers,
            List<RunningTask> running,
            QuotaUsage quotas) {
        Round round = new Round(workers, running, quotas);
        waiting.stream().sorted(order(quotas)).limit(MAX_CONSIDERED).forEach(round::consider);
        return new PlanningResult(round.placements, round.waiting, round.evictions);
    }

    private static Comparator<TaskDemand> order(QuotaUsage quotas) {
        return Comparator.comparing((TaskDemand demand) -> !demand.urgent())
                .thenComparingInt(demand -> demand.hoursLeft() < 0 ? 24 : demand.hoursLeft())
                .thenComparingInt(demand -> -demand.priority())
                .thenComparingDouble(demand -> quotas.getDominantShare(demand.team()))
                .thenComparing(TaskDemand::task);
    }

    // -----------------------------------------------------------------------
    /** The state of one round. */
    private final class Round {

        /** The workers. */
        private final List<WorkerView> workers;

        /** The tasks that hold room. */
        private final List<RunningTask> running;

        /** What the teams hold. */
        private final QuotaUsage quotas;

        /** Where tasks go. */
        private final Map<TaskId, PlacementDecision> placements = new LinkedHashMap<>();

        /** Why the others wait. */
        private final Map<TaskId, String> waiting = new LinkedHashMap<>();

        /** Tasks to stop for urgent ones. */
        private final Set<TaskId> evictions = new HashSet<>();

        /** Why a task of a class and size found no room in this round. */
        private final Map<Object, String> refused = new HashMap<>();

        private Round(List<WorkerView> workers, List<RunningTask> running, QuotaUsage quotas) {
            this.workers = workers;
            this.running = running;
            this.quotas = quotas;
        }

        private void consider(TaskDemand demand) {
            if (placements.size() >= MAX_PLACEMENTS) {
                waiting.put(demand.task(), WaitingReason.NO_ROOM.toString());
                return;
            }
            Resources size = sizes.estimate(demand.batchClass(), demand.declared());
            WaitingReason overQuota = quotas.findViolation(demand.team(), size);
            if (overQuota != null) {
                waiting.put(demand.task(), overQuota.toString());
                return;
            }
            Object likeness = List.of(demand.task().getJob(), demand.avoidWorkers());
            String known = refused.get(likeness);
            if (known != null) {
                waiting.put(demand.task(), known);
                return;
            }
            PlacementDecision decision = placement.place(demand, workers);
            if (decision.isPlaced()) {
                accept(demand, decision);
            } else {
                makeRoom(demand, decision.reason(), size);
                refused.putIfAbsent(likeness, waiting.getOrDefault(demand.task(), ""));
                refused.values().removeIf(String::isEmpty);
            }
        }

        private void accept(TaskDemand demand, PlacementDecision decision) {
            placements.put(demand.task(), decision);
            quotas.add(demand.team(), decision.resources());
            workerOf(decision.worker()).addTask(demand.batchClass(), decision.resources());
        }

        private void makeRoom(TaskDemand demand, String reason, Resources size) {
            if (demand.urgent() && evictFor(demand, size)) {
                return;
            }
            if (!reason.equals(WaitingReason.NO_ROOM.toString()) || !queue(demand, size)) {
                waiting.put(demand.task(), reason);
            }
        }

        private boolean queue(TaskDemand demand, Resources size) {
            WorkerView shortest = null;
            for (WorkerView worker : workers) {
                boolean possible =
                        isPossible(demand, worker, size) && worker.getBacklog() < backlogPerWorker;
                if (possible && (shortest == null || worker.getBacklog() < shortest.getBacklog())) {
                    shortest = worker;
                }
            }
            if (shortest == null) {
                return false;
            }
            shortest.addQueued();
            quotas.add(demand.team(), size);
            placements.put(demand.task(), PlacementDecision.ofPlaced(shortest.getVm(), size));
            return true;
        }

        /** Assigns an urgent task where the fewest ordinary ones must make room for it. */
        private boolean evictFor(TaskDemand demand, Resources size) {
            WorkerView best = null;
            List<RunningTask> fewest = null;
            for (WorkerView worker : workers) {
                if (!isPossible(demand, worker, size)) {
                    continue;
                }
                List<RunningTask> victims = victims(worker, size);
                if (victims != null && (fewest == null || victims.size() < fewest.size())) {
                    best = worker;
                    fewest = victims;
                }
            }
            if (best == null) {
                return false;
            }
            fewest.forEach(victim -> evictions.add(victim.task()));
            accept(demand, PlacementDecision.ofPlaced(best.getVm(), size));
            return true;
        }

        private boolean isPossible(TaskDemand demand, WorkerView worker, Resources size) {
            return worker.isUsable()
                    && AbstractPlacement.isPermitted(demand, worker)
                    && size.fitsIn(worker.getAllocatable());
        }

        /** Chooses the tasks that must go so that a size fits; null if that is not enough. */
        private List<RunningTask> victims(WorkerView worker, Resources size) {
            List<RunningTask> candidates =
                    running.stream()
                            .filter(task -> task.worker().equals(worker.getVm()))
                            .filter(task -> !task.urgent() && !task.queued())
                            .filter(task -> !evictions.contains(task.task()))
                            .sorted(ORDER_OF_EVICTION)
                            .toList();
            List<RunningTask> chosen = new ArrayList<>();
            Resources free = worker.getFree();
            for (RunningTask victim : candidates) {
                if (size.fitsIn(free)) {
                    break;
                }
                free = free.plus(victim.granted());
                chosen.add(victim);
            }
            return size.fitsIn(free) ? chosen : null;
        }

        private WorkerView workerOf(VmId vm) {
            return workers.stream().filter(worker -> worker.getVm().equals(vm)).findFirst().get();
        }
    }
}
