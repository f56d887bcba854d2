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
 * Places a task where it disturbs services least, and packs tightly among equals.
 *
 * <p>A worker is left out when a service there is expected to come too near its target. How near is
 * too near follows from the operators' weights: the more tail latency weighs, the earlier.
 *
 * <p>{@code InterferenceAwarePlacement} is as thread-safe as its estimator and model.
 */
public final class InterferenceAwarePlacement extends AbstractPlacement {

    /** The highest tail latency expected that is accepted, in percent of the target. */
    private static final double HIGHEST_LIMIT = 95;

    /** How much lower that limit is when only tail latency weighs, in percent of the target. */
    private static final double LIMIT_RANGE = 25;

    /** How much packing weighs against disturbance. */
    private static final double PACKING = 5;

    /** Learned interference. */
    private final InterferenceModel model;

    /** The tail latency expected that is accepted, in percent of the target. */
    private final double limit;

    /**
     * Constructor.
     *
     * @param sizes estimates what tasks take
     * @param model learned interference
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
        this.limit = HIGHEST_LIMIT - LIMIT_RANGE * share;
    }

    @Override
    protected double score(TaskDemand demand, WorkerView worker, Resources size) {
        double added = 0;
        for (int i = 0; i < worker.getServices().size(); i++) {
            ServiceLoad load = worker.getServices().get(i);
            double share = model.estimateIncrease(load, demand.batchClass());
            double expected = worker.getExpectedLatency(i, model) + share;
            if (expected > limit && !demand.urgent()) {
                return INELIGIBLE;
            }
            added += share;
        }
        double capacity = Math.max(1, worker.getCapacity().milliCores());
        double used = 1 - worker.getFree().milliCores() / capacity;
        return PACKING * used - added;
    }
}
