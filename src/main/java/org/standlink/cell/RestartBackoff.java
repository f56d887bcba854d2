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
 * Delays the restarts of a long-running task whose runs end soon after their start.
 *
 * <p>The first restart is immediate. It is not persisted: a new leader begins without a delay.
 *
 * <p>{@code RestartBackoff} is not thread-safe; it is confined to the leader's event loop.
 */
final class RestartBackoff {

    /** The delay after the second early end in a row, in milliseconds; doubled after each one. */
    private static final long FIRST_DELAY_MILLIS = 250;

    /**
     * The maximum delay, in milliseconds. Together with a start it stays below 3 s, for which a job
     * may have nothing running while there is capacity.
     */
    static final long MAX_DELAY_MILLIS = 2000;

    /** How long a run lasts that does not end early, in milliseconds. */
    private static final long EARLY_END_MILLIS = 10_000;

    private long delayMillis;

    /** When the next run may begin, on the leader's clock. */
    private long notBefore;

    /**
     * Records the end of a run.
     *
     * @param ranMillis how long the run was listed, in milliseconds; 0 if it was not
     * @param now the time on the leader's clock
     */
    void recordEnd(long ranMillis, long now) {
        if (ranMillis >= EARLY_END_MILLIS) {
            delayMillis = 0;
        }
        notBefore = now + delayMillis;
        delayMillis = Math.min(MAX_DELAY_MILLIS, Math.max(FIRST_DELAY_MILLIS, 2 * delayMillis));
    }

    /**
     * Checks whether the next run has to wait.
     *
     * @param now the time on the leader's clock
     * @return true if so
     */
    boolean isWaiting(long now) {
        return now < notBefore;
    }
}
