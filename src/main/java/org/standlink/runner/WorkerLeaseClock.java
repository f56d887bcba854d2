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
package org.standlink.runner;

import java.util.function.LongConsumer;

/**
 * Converts the ends of leases to a worker's clock, and determines when its leases have certainly
 * expired.
 *
 * <p>A worker uses a clock of its own, which may be slow by 2%. Times of the agent are on its
 * monotonic clock, in milliseconds.
 *
 * <p>{@code WorkerLeaseClock} is mutable and not thread-safe.
 */
final class WorkerLeaseClock {

    /** The factor by which a worker's clock may be slow. */
    private static final double MAX_DRIFT_FACTOR = 1.02;

    /** The time that a worker takes to kill its runs, with a margin, in milliseconds. */
    private static final long KILL_ALLOWANCE_MILLIS = 300;

    /**
     * How much further a worker's clock may have advanced than the agent's without the agent's
     * clock being taken to have stopped, in milliseconds: the latency of answers varies by that
     * much.
     */
    private static final long ANSWER_JITTER_MILLIS = 50;

    /** Called with the time that the agent's clock has fallen behind, in milliseconds. */
    private final LongConsumer onClockLag;

    /** The worker's clock in its last answer; negative if it has not answered yet. */
    private long lastWorkerMillis = -1;

    /** When that answer was received. */
    private long lastAnswerAt;

    /**
     * How far the worker's clock is ahead of the agent's, by the fastest answers. Answers that are
     * delayed for other reasons do not count, since each would shorten a lease when the next one is
     * fast.
     */
    private double offset;

    /** The latest lease end that was sent to the worker. */
    private long grantedUntil;

    /**
     * Creates a clock.
     *
     * @param grantedUntil the end of the lease that may have been granted to the worker before
     * @param onClockLag called with the time that the agent's clock has fallen behind, in
     *     milliseconds
     */
    WorkerLeaseClock(long grantedUntil, LongConsumer onClockLag) {
        this.grantedUntil = grantedUntil;
        this.onClockLag = onClockLag;
    }

    /**
     * Updates the worker's clock from an answer. A worker's clock does not run fast; if it has
     * advanced by more than the agent's, the agent's machine was suspended, and leases end sooner
     * by that much.
     *
     * @param clockMillis the worker's clock, negative if the answer did not contain it
     * @param now when the answer was received
     */
    void answerReceived(long clockMillis, long now) {
        if (clockMillis >= 0) {
            updateOffset(clockMillis - now, now);
            lastWorkerMillis = clockMillis;
            lastAnswerAt = now;
        }
    }

    /** A slow clock falls back, so an offset observed earlier is reduced with time. */
    private void updateOffset(long observedOffset, long now) {
        double expectedOffset = offset - (now - lastAnswerAt) * (MAX_DRIFT_FACTOR - 1);
        if (isKnown() && observedOffset - expectedOffset > ANSWER_JITTER_MILLIS) {
            onClockLag.accept((long) Math.ceil(observedOffset - expectedOffset));
        }
        offset = isKnown() ? Math.max(observedOffset, expectedOffset) : observedOffset;
    }

    /**
     * Checks whether the worker's clock is known.
     *
     * @return true if the worker has answered
     */
    boolean isKnown() {
        return lastWorkerMillis >= 0;
    }

    /**
     * Converts the end of a lease to the worker's clock, and records that the lease is granted.
     *
     * @param end the end of the lease, on the agent's clock
     * @return the end of the lease, on the worker's clock
     */
    long grantUntil(long end) {
        grantedUntil = Math.max(grantedUntil, end);
        return lastWorkerMillis + (long) Math.max(0, (end - lastAnswerAt) / MAX_DRIFT_FACTOR);
    }

    /**
     * Checks whether all leases granted to the worker have expired and its runs have ended.
     *
     * @param now the time on the agent's clock
     * @return true if so
     */
    boolean isExpired(long now) {
        return now > grantedUntil + KILL_ALLOWANCE_MILLIS;
    }
}
