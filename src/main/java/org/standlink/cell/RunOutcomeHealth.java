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
 * The health of one incarnation of a worker, as shown by the outcomes of its runs.
 *
 * <p>{@code RunOutcomeHealth} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class RunOutcomeHealth {

    /** The number of failed runs since the last one that succeeded. */
    private int consecutiveFailures;

    /** Until when nothing is started there, on the leader's clock. */
    private long avoidUntil;

    /**
     * Records the outcome of a run.
     *
     * @param succeeded whether the run succeeded
     */
    void recordOutcome(boolean succeeded) {
        consecutiveFailures = succeeded ? 0 : consecutiveFailures + 1;
    }

    /**
     * Gets the number of failed runs since the last one that succeeded.
     *
     * @return the number
     */
    int getConsecutiveFailures() {
        return consecutiveFailures;
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
     * Extends the time for which nothing is started there.
     *
     * @param until the time on the leader's clock; ignored if it is earlier than the present limit
     */
    void avoidUntil(long until) {
        avoidUntil = Math.max(avoidUntil, until);
    }
}
