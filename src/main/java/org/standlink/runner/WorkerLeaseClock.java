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
 * Works out until when a worker may be told to keep its runs, and when they are surely over.
 *
 * <p>A worker counts on a clock of its own, which may be slow by 2%. Times of the agent are on its
 * monotonic clock, in milliseconds.
 *
 * <p>{@code WorkerLeaseClock} is mutable and not thread-safe.
 */
final class WorkerLeaseClock {

    /** By how much a worker's clock may be slow. */
    private static final double DRIFT = 1.02;

    /** The time a worker takes to kill what it held, in milliseconds, with some to spare. */
    private static final long KILL_MILLIS = 300;

    /**
     * By how much more a worker's clock may have gone on than the agent's, in milliseconds, without
     * the agent's being taken to have stood still: answers come sooner or later by that much.
     */
    private static final long NOISE_MILLIS = 50;

    /** Is told by how much the agent's clock has fallen behind, in milliseconds. */
    private final LongConsumer whenBehind;

    /** The worker's clock in its last answer; negative if it has not answered yet. */
    private long workerMillis = -1;

    /** When that answer came. */
    private long answeredAt;

    /**
     * How far the worker's clock is ahead of the agent's, by the quickest answers: those that come
     * late for other reasons do not count, or each would shorten a lease when the next is quick.
     */
    private double ahead;

    /** The latest time up to which the worker was told to keep its runs. */
    private long grantedUntil;

    /**
     * Constructor.
     *
     * @param grantedUntil until when the worker may have been told before to keep its runs
     * @param whenBehind is told by how much the agent's clock has fallen behind, in milliseconds
     */
    WorkerLeaseClock(long grantedUntil, LongConsumer whenBehind) {
        this.grantedUntil = grantedUntil;
        this.whenBehind = whenBehind;
    }

    /**
     * Takes note of the worker's clock. A worker's clock does not run fast; if it has gone on by
     * more than the agent's, the agent's machine was suspended, and leases end sooner by that much.
     *
     * @param clockMillis the worker's clock, negative if it told none
     * @param now when the answer came
     */
    void answerReceived(long clockMillis, long now) {
        if (clockMillis >= 0) {
            compare(clockMillis - now, now);
            workerMillis = clockMillis;
            answeredAt = now;
        }
    }

    /** A clock that is slow falls back, so what was seen of it counts for less with time. */
    private void compare(long aheadNow, long now) {
        double expected = ahead - (now - answeredAt) * (DRIFT - 1);
        if (isKnown() && aheadNow - expected > NOISE_MILLIS) {
            whenBehind.accept((long) Math.ceil(aheadNow - expected));
        }
        ahead = isKnown() ? Math.max(aheadNow, expected) : aheadNow;
    }

    /**
     * Checks whether the worker's clock is known.
     *
     * @return true if it has answered
     */
    boolean isKnown() {
        return workerMillis >= 0;
    }

    /**
     * Works out what to tell the worker, and takes note that it is told.
     *
     * @param end until when the runs may go on, on the agent's clock
     * @return until when on the worker's clock
     */
    long grantUntil(long end) {
        grantedUntil = Math.max(grantedUntil, end);
        return workerMillis + (long) Math.max(0, (end - answeredAt) / DRIFT);
    }

    /**
     * Checks whether all that the worker was told to keep is over.
     *
     * @param now the time on the agent's clock
     * @return true if so
     */
    boolean isExpired(long now) {
        return now > grantedUntil + KILL_MILLIS;
    }
}
