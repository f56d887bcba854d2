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
 * The part that every placement shares: what may not be, and why a task waits.
 *
 * <p>Subclasses only say how good a worker is. {@code AbstractPlacement} is as thread-safe as its
 * size estimator.
 */
public abstract class AbstractPlacement implements PlacementPolicy {

    /** The score of a worker that must not be taken. */
    protected static final double INELIGIBLE = Double.NEGATIVE_INFINITY;

    /** Estimates what tasks take. */
    private final SizeEstimator sizes;

    /**
     * Constructor.
     *
     * @param sizes estimates what tasks take
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
                ? PlacementDecision.ofWaiting(reason(demand, workers, size))
                : PlacementDecision.ofPlaced(best.getVm(), size);
    }

    /**
     * Says how good a worker is for a task.
     *
     * @param demand the task
     * @param worker a worker that may be taken and has room
     * @param size what the task would be granted
     * @return greater is better; {@link #INELIGIBLE} to leave the worker out
     */
    protected abstract double score(TaskDemand demand, WorkerView worker, Resources size);

    // -----------------------------------------------------------------------
    private static boolean isAllowed(TaskDemand demand, WorkerView worker) {
        return worker.isUsable() && isPermitted(demand, worker);
    }

    /**
     * Checks the placement rules alone.
     *
     * @param demand the task
     * @param worker the worker
     * @return true if no rule speaks against it
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

    private static String reason(TaskDemand demand, List<WorkerView> workers, Resources size) {
        boolean permitted = false;
        boolean large = true;
        boolean usable = false;
        boolean room = false;
        for (WorkerView worker : workers) {
            boolean here = isPermitted(demand, worker);
            boolean fits = size.fitsIn(worker.getAllocatable());
            permitted |= here;
            large &= !(here && fits);
            usable |= here && fits && worker.isUsable();
            room |= here && worker.isUsable() && size.fitsIn(worker.getFree());
        }
        if (!permitted) {
            return WaitingReason.NO_PERMITTED_WORKER.toString();
        }
        if (large) {
            return WaitingReason.TOO_LARGE.toString();
        }
        if (!usable) {
            return WaitingReason.NO_USABLE_WORKER.toString();
        }
        return room ? WaitingReason.WOULD_DISTURB.toString() : WaitingReason.NO_ROOM.toString();
    }
}
