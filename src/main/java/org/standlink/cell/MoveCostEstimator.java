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
 * Learns how long a move holds a task up: from the decision until the next run is further than the
 * last one was. Stop, start, restoring and the work since the last saved state are part of it.
 *
 * <p>{@code MoveCostEstimator} is mutable and not thread-safe; the leader's loop owns it.
 */
final class MoveCostEstimator {

    /** What a move is taken to cost before any was seen, in milliseconds. */
    private static final double PRIOR_MILLIS = 1000;

    /** The weight of a new sample: some ten moves outweigh what was known before. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * The time after which half of what was learnt counts, in milliseconds: moves that were held up
     * by an outage would keep all others from being made, and so from showing that it is over.
     */
    private static final double HALF_LIFE_MILLIS = 30_000;

    /** What a move cost when that was learnt last, in milliseconds. */
    private double millis = PRIOR_MILLIS;

    /** When that was, on the leader's clock. */
    private long learntAt;

    /**
     * Learns from a move.
     *
     * @param took how long it held the task up, in milliseconds
     * @param now the time on the leader's clock
     */
    void addSample(long took, long now) {
        double before = estimateMillis(now);
        millis = before + SAMPLE_WEIGHT * (took - before);
        learntAt = now;
    }

    /**
     * Gets what a move costs.
     *
     * @param now the time on the leader's clock
     * @return the expected time, in milliseconds
     */
    double estimateMillis(long now) {
        double kept = Math.pow(0.5, (now - learntAt) / HALF_LIFE_MILLIS);
        return PRIOR_MILLIS + (millis - PRIOR_MILLIS) * kept;
    }
}
