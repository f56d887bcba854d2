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

import java.util.List;
import org.standlink.Resources;

/**
 * Base class of placement policies, which selects the eligible workers and determines why a task
 * waits.
 *
 * <p>Subclasses score the workers that comply with the placement rules and have enough free
 * capacity; the worker with the highest score is chosen.
 *
 * <p>{@code AbstractPlacement} is as thread-safe as its size estimator.
 */
public abstract class AbstractPlacement implements PlacementPolicy {

    /** The score of a worker that must not be chosen. */
    protected static final double INELIGIBLE = Double.NEGATIVE_INFINITY;

    private final SizeEstimator sizes;

    /**
     * Creates a placement policy.
     *
     * @param sizes estimates the resources of tasks
     */
    protected AbstractPlacement(SizeEstimator sizes) {
        this.sizes = sizes;
    }

    @Override
    public final PlacementDecision place(TaskDemand demand, List<WorkerView> workers) {
        Resources size = sizes.estimate(demand.batchClass(), demand.declared());
        WorkerView best = null;
        double bestScore = INELIGIBLE;
        for (WorkerView worker : workers) {
            if (!isAllowed(demand, worker) || !size.fitsIn(worker.getFree())) {
                continue;
            }
            double score = score(demand, worker, size);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best == null
                ? PlacementDecision.ofWaiting(findWaitingReason(demand, workers, size))
                : PlacementDecision.ofPlaced(best.getVm(), size);
    }

    /**
     * Scores a worker for a task.
     *
     * @param demand the task
     * @param worker a worker that complies with the placement rules and has enough free capacity
     * @param size the resources that the task would be granted
     * @return the score, greater is better; {@link #INELIGIBLE} to exclude the worker
     */
    protected abstract double score(TaskDemand demand, WorkerView worker, Resources size);

    // -----------------------------------------------------------------------
    private static boolean isAllowed(TaskDemand demand, WorkerView worker) {
        return worker.isUsable() && isPermitted(demand, worker);
    }

    /**
     * Checks whether the placement rules permit a worker, regardless of its health and capacity.
     *
     * @param demand the task
     * @param worker the worker
     * @return true if no rule excludes the worker
     */
    static boolean isPermitted(TaskDemand demand, WorkerView worker) {
        if (!demand.halls().isEmpty() && !demand.halls().contains(worker.getHall())) {
            return false;
        }
        if (demand.avoidWorkers().contains(worker.getVm())) {
            return false;
        }
        for (ServiceLoad load : worker.getServices()) {
            if (demand.avoidServices().contains(load.service())) {
                return false;
            }
        }
        return true;
    }

    private static String findWaitingReason(
            TaskDemand demand, List<WorkerView> workers, Resources size) {
        boolean permitted = false;
        boolean tooLarge = true;
        boolean usable = false;
        boolean hasFreeCapacity = false;
        for (WorkerView worker : workers) {
            boolean rulesPermit = isPermitted(demand, worker);
            boolean fits = size.fitsIn(worker.getAllocatable());
            permitted |= rulesPermit;
            tooLarge &= !(rulesPermit && fits);
            usable |= rulesPermit && fits && worker.isUsable();
            hasFreeCapacity |= rulesPermit && worker.isUsable() && size.fitsIn(worker.getFree());
        }
        if (!permitted) {
            return WaitingReason.NO_PERMITTED_WORKER.toString();
        }
        if (tooLarge) {
            return WaitingReason.TOO_LARGE.toString();
        }
        if (!usable) {
            return WaitingReason.NO_USABLE_WORKER.toString();
        }
        return hasFreeCapacity
                ? WaitingReason.WOULD_DISTURB.toString()
                : WaitingReason.NO_ROOM.toString();
    }
}
