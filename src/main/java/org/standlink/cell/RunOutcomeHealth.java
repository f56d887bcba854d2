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
 * How well runs end on one life of a worker.
 *
 * <p>{@code WorkerHealthPolicy} is mutable and not thread-safe; the leader's loop owns it.
 */
final class RunOutcomeHealth {

    /** How many runs have failed there without one that ended well. */
    private int failuresInRow;

    /** Until when nothing is started there, on the leader's clock. */
    private long avoidUntil;

    /**
     * Takes note of how a run there ended.
     *
     * @param well whether it ended well
     */
    void recordOutcome(boolean well) {
        failuresInRow = well ? 0 : failuresInRow + 1;
    }

    /**
     * Gets how many runs have failed there without one that ended well.
     *
     * @return the number
     */
    int getConsecutiveFailures() {
        return failuresInRow;
    }

    /**
     * Gets until when nothing is started there.
     *
     * @return the time on the leader's clock
     */
    long getAvoidUntil() {
        return avoidUntil;
    }

    /**
     * Sets until when nothing is started there.
     *
     * @param until the time on the leader's clock
     */
    void avoidUntil(long until) {
        avoidUntil = Math.max(avoidUntil, until);
    }
}
