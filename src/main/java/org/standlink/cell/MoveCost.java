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
 * <p>{@code MoveCost} is mutable and not thread-safe; the leader's loop owns it.
 */
final class MoveCost {

    /** What a move is taken to cost before any was seen, in milliseconds. */
    private static final double PRIOR_MILLIS = 1000;

    /** The weight of a new sample: some ten moves outweigh what was known before. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** What a move costs, in milliseconds. */
    private double millis = PRIOR_MILLIS;

    /**
     * Takes note of a move.
     *
     * @param took how long it held the task up, in milliseconds
     */
    void learn(long took) {
        millis += SAMPLE_WEIGHT * (took - millis);
    }

    /**
     * Gets what a move costs.
     *
     * @return the expected time, in milliseconds
     */
    double getMillis() {
        return millis;
    }
}
