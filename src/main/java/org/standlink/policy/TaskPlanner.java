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
 * Plans in rounds: assigns waiting tasks to workers, determines why the others wait, and chooses
 * ordinary tasks to evict for urgent ones.
 *
 * <p>Urgent tasks are planned first, then those with the earliest deadline, then those with the
 * highest priority, then those of the team that uses the smallest share of its quota. A task that
 * cannot be placed never blocks the others. When there is no free capacity, some tasks are assigned
 * to workers in advance as a backlog, so that workers stay busy while the log is unavailable.
 *
 * <p>{@code TaskPlanner} is as thread-safe as its placement policy.
 */
public final class TaskPlanner {

    /** The maximum number of tasks assigned in one round, which bounds the record in the log. */
    public static final int MAX_PLACEMENTS = 64;

    /** The maximum number of waiting tasks considered in one round, which bounds its duration. */
    public static final int MAX_CONSIDERED = 2000;

    /** Tasks that are already being stopped, then checkpointable ones, then the largest. */
    private static final Comparator<RunningTask> EVICTION_ORDER =
            Comparator.comparing((RunningTask task) -> !task.stopping())
                    .thenComparing(task -> !task.checkpointable())
                    .thenComparing(task -> -task.granted().milliCores());

    private final PlacementPolicy placement;
    private final SizeEstimator sizes;
    private final int backlogPerWorker;

    /**
     * Creates a planner.
     *
     * @param placement chooses workers
     * @param sizes estimates the resources of tasks
     * @param backlogPerWorker the maximum number of tasks assigned in advance to one worker
     */
    public TaskPlanner(PlacementPolicy placement, SizeEstimator sizes, int backlogPerWorker) {
        this.placement = placement;
        this.sizes = sizes;
        this.backlogPerWorker = backlogPerWorker;
    }

    /**
     * Plans one round.
     *
     * @param waiting the tasks that are waiting to be placed
     * @param workers the workers with their tasks; updated with each assignment
     * @param running the tasks that occupy capacity
     * @param quotas the resources that the teams use; updated with each assignment
     * @return the assignments, waiting reasons and evictions
     */
    public PlanningResult plan(
            List<TaskDemand> waiting,
            List<WorkerView> workers,
            List<RunningTask> running,
            QuotaUsage quotas) {
        Round round = new Round(workers, running, quotas);
        waiting.stream()
                .sorted(planningOrder(quotas))
                .limit(MAX_CONSIDERED)
                .forEach(round::planTask);
        return new PlanningResult(round.placements, round.waiting, round.evictions);
    }

    private static Comparator<TaskDemand> planningOrder(QuotaUsage quotas) {
        return Comparator.comparing((TaskDemand demand) -> !demand.urgent())
                .thenComparingInt(demand -> demand.hoursLeft() < 0 ? 24 : demand.hoursLeft())
                .thenComparingInt(demand -> -demand.priority())
                .thenComparingDouble(demand -> quotas.getDominantShare(demand.team()))
                .thenComparing(TaskDemand::task);
    }

    // -----------------------------------------------------------------------
    /** The state of one planning round. */
    private final class Round {

        private final List<WorkerView> workers;
        private final List<RunningTask> running;
        private final QuotaUsage quotas;
        private final Map<TaskId, PlacementDecision> placements = new LinkedHashMap<>();
        private final Map<TaskId, String> waiting = new LinkedHashMap<>();
        private final Set<TaskId> evictions = new HashSet<>();

        /**
         * The reasons why tasks could not be placed in this round, by job and avoided workers.
         * Tasks that agree in both are not evaluated again.
         */
        private final Map<Object, String> rejections = new HashMap<>();

        private Round(List<WorkerView> workers, List<RunningTask> running, QuotaUsage quotas) {
            this.workers = workers;
            this.running = running;
            this.quotas = quotas;
        }

        private void planTask(TaskDemand demand) {
            if (placements.size() >= MAX_PLACEMENTS) {
                waiting.put(demand.task(), WaitingReason.NO_ROOM.toString());
                return;
            }
            Resources size = sizes.estimate(demand.batchClass(), demand.declared());
            WaitingReason violation = quotas.findViolation(demand.team(), size);
            if (violation != null) {
                waiting.put(demand.task(), violation.toString());
                return;
            }
            Object placementKey = List.of(demand.task().getJob(), demand.avoidWorkers());
            String knownReason = rejections.get(placementKey);
            if (knownReason != null) {
                waiting.put(demand.task(), knownReason);
                return;
            }
            PlacementDecision decision = placement.place(demand, workers);
            if (decision.isPlaced()) {
                assign(demand, decision);
            } else {
                evictOrQueue(demand, decision.reason(), size);
                rejections.putIfAbsent(placementKey, waiting.getOrDefault(demand.task(), ""));
                rejections.values().removeIf(String::isEmpty);
            }
        }

        private void assign(TaskDemand demand, PlacementDecision decision) {
            placements.put(demand.task(), decision);
            quotas.add(demand.team(), decision.resources());
            findWorker(decision.worker()).addTask(demand.batchClass(), decision.resources());
        }

        private void evictOrQueue(TaskDemand demand, String reason, Resources size) {
            if (demand.urgent() && evictFor(demand, size)) {
                return;
            }
            if (!reason.equals(WaitingReason.NO_ROOM.toString()) || !addToBacklog(demand, size)) {
                waiting.put(demand.task(), reason);
            }
        }

        private boolean addToBacklog(TaskDemand demand, Resources size) {
            WorkerView shortest = null;
            for (WorkerView worker : workers) {
                boolean candidate =
                        isCandidate(demand, worker, size) && worker.getBacklog() < backlogPerWorker;
                if (candidate
                        && (shortest == null || worker.getBacklog() < shortest.getBacklog())) {
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

        /** Assigns an urgent task to the worker where the fewest tasks must be evicted for it. */
        private boolean evictFor(TaskDemand demand, Resources size) {
            WorkerView best = null;
            List<RunningTask> fewestVictims = null;
            for (WorkerView worker : workers) {
                if (!isCandidate(demand, worker, size)) {
                    continue;
                }
                List<RunningTask> victims = chooseVictims(worker, size);
                if (victims != null
                        && (fewestVictims == null || victims.size() < fewestVictims.size())) {
                    best = worker;
                    fewestVictims = victims;
                }
            }
            if (best == null) {
                return false;
            }
            fewestVictims.forEach(victim -> evictions.add(victim.task()));
            assign(demand, PlacementDecision.ofPlaced(best.getVm(), size));
            return true;
        }

        private boolean isCandidate(TaskDemand demand, WorkerView worker, Resources size) {
            return worker.isUsable()
                    && AbstractPlacement.isPermitted(demand, worker)
                    && size.fitsIn(worker.getAllocatable());
        }

        /** Chooses the tasks to evict so that the size fits, null if it does not fit anyway. */
        private List<RunningTask> chooseVictims(WorkerView worker, Resources size) {
            List<RunningTask> candidates =
                    running.stream()
                            .filter(task -> task.worker().equals(worker.getVm()))
                            .filter(task -> !task.urgent() && !task.queued())
                            .filter(task -> !evictions.contains(task.task()))
                            .sorted(EVICTION_ORDER)
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

        private WorkerView findWorker(VmId vm) {
            return workers.stream().filter(worker -> worker.getVm().equals(vm)).findFirst().get();
        }
    }
}
