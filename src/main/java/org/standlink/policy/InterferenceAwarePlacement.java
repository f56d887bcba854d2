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

import org.standlink.Resources;

/**
 * Chooses the worker on which the task interferes least with services, and packs tightly among
 * equals.
 *
 * <p>A worker is excluded if the expected tail latency of one of its services exceeds a limit below
 * the target, unless the task is urgent. The limit follows from the operators' weights: the greater
 * the weight of tail latency, the lower the limit.
 *
 * <p>{@code InterferenceAwarePlacement} is as thread-safe as its estimator and model.
 */
public final class InterferenceAwarePlacement extends AbstractPlacement {

    /** The limit if tail latency has no weight, in percent of the target. */
    private static final double MAX_LIMIT_PERCENT = 95;

    /** How much lower the limit is if only tail latency has weight, in percent of the target. */
    private static final double LIMIT_RANGE_PERCENT = 25;

    /** The score of a fully used worker, against the percentage points that the task adds. */
    private static final double PACKING_WEIGHT = 5;

    private final InterferenceModel model;

    /** The greatest expected tail latency that is accepted, in percent of the target. */
    private final double limitPercent;

    /**
     * Creates a placement policy.
     *
     * @param sizes estimates the resources of tasks
     * @param model estimates how much each task interferes
     * @param latencyWeight the operators' weight of tail latency
     * @param throughputWeight the operators' weight of batch throughput
     */
    public InterferenceAwarePlacement(
            SizeEstimator sizes,
            InterferenceModel model,
            double latencyWeight,
            double throughputWeight) {
        super(sizes);
        this.model = model;
        double sum = latencyWeight + throughputWeight;
        double share = sum == 0 ? 0 : latencyWeight / sum;
        this.limitPercent = MAX_LIMIT_PERCENT - LIMIT_RANGE_PERCENT * share;
    }

    @Override
    protected double score(TaskDemand demand, WorkerView worker, Resources size) {
        double added = 0;
        for (int i = 0; i < worker.getServices().size(); i++) {
            ServiceLoad load = worker.getServices().get(i);
            double increase = model.estimateIncrease(load, demand.batchClass());
            double expected = worker.getExpectedLatency(i, model) + increase;
            if (expected > limitPercent && !demand.urgent()) {
                return INELIGIBLE;
            }
            added += increase;
        }
        double capacity = Math.max(1, worker.getCapacity().milliCores());
        double used = 1 - worker.getFree().milliCores() / capacity;
        return PACKING_WEIGHT * used - added;
    }
}
