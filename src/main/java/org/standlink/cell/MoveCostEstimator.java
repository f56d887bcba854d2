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

/**
 * Estimates how long a move delays a task: from the decision until the next run has progressed
 * further than the previous one. This includes stopping, starting, restoring the checkpoint and
 * repeating the work done since that checkpoint.
 *
 * <p>{@code MoveCostEstimator} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class MoveCostEstimator {

    /** The estimate before any move was observed, in milliseconds. */
    private static final double PRIOR_MILLIS = 1000;

    /** The weight of a new sample; about ten moves outweigh the earlier estimate. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * The half-life of the samples, in milliseconds. Without decay, moves that were delayed by an
     * outage would prevent all further moves, and so the samples that show that the outage is over.
     */
    private static final double HALF_LIFE_MILLIS = 30_000;

    /** The estimate at the time of the last sample, in milliseconds. */
    private double lastEstimateMillis = PRIOR_MILLIS;

    /** The time of the last sample, on the leader's clock. */
    private long lastSampleAt;

    /**
     * Adds the duration of a move.
     *
     * @param durationMillis how long the move delayed the task, in milliseconds
     * @param now the time on the leader's clock, in milliseconds
     */
    void addSample(long durationMillis, long now) {
        double previous = estimateMillis(now);
        lastEstimateMillis = previous + SAMPLE_WEIGHT * (durationMillis - previous);
        lastSampleAt = now;
    }

    /**
     * Estimates the cost of a move.
     *
     * @param now the time on the leader's clock, in milliseconds
     * @return the expected delay, in milliseconds
     */
    double estimateMillis(long now) {
        double weight = Math.pow(0.5, (now - lastSampleAt) / HALF_LIFE_MILLIS);
        return PRIOR_MILLIS + (lastEstimateMillis - PRIOR_MILLIS) * weight;
    }
}
