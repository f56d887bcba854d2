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

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The failed runs of a worker since the last one that succeeded.
 *
 * <p>{@code RunOutcomeHealth} is not thread-safe; it is confined to the leader's event loop.
 */
final class RunOutcomeHealth {

    /** The number of consecutive failed runs from which on a worker is not trusted. */
    static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** The maximum number of failures that are kept. */
    private static final int MAX_KEPT = 100;

    /** The failures, the oldest first. */
    private final Deque<Failure> failures = new ArrayDeque<>();

    /** Until when nothing is started there, on the leader's clock. */
    private long avoidUntil;

    /** Until when nothing is started there as long as the worker is not trusted. */
    private long suspendedUntil;

    /** A failed run: its step, its duration and when it ended, on the leader's clock. */
    private record Failure(StepOutcomes step, long ranMillis, long endedAt) {}

    /**
     * Records a failed run.
     *
     * @param step the outcomes of its step
     * @param ranMillis how long the run was listed, in milliseconds
     * @param now the time on the leader's clock
     */
    void recordFailure(StepOutcomes step, long ranMillis, long now) {
        if (failures.size() == MAX_KEPT) {
            failures.removeFirst();
        }
        failures.add(new Failure(step, ranMillis, now));
    }

    /** Records that a run succeeded. */
    void recordSuccess() {
        failures.clear();
    }

    /**
     * Records that a run lasts, which shows that failures from before its start are over.
     *
     * @param since when it was first listed, on the leader's clock
     */
    void recordLastingRun(long since) {
        failures.removeIf(failure -> failure.endedAt() < since);
    }

    /**
     * Gets the duration of the longest failed run.
     *
     * @return the duration, in milliseconds; negative if no run has failed
     */
    long getLongestFailureMillis() {
        return failures.stream().mapToLong(Failure::ranMillis).max().orElse(-1);
    }

    /**
     * Counts the failed runs since the last one that succeeded, except those of steps that are at
     * fault themselves.
     *
     * @return the number of runs
     */
    int getConsecutiveFailures() {
        return (int) failures.stream().filter(failure -> !failure.step().isAtFault()).count();
    }

    /**
     * Checks whether the worker may be given any number of runs.
     *
     * @return false if too many runs have failed there since the last success
     */
    boolean isTrusted() {
        return getConsecutiveFailures() < MAX_CONSECUTIVE_FAILURES;
    }

    /**
     * Checks whether nothing is started there because too many runs have failed.
     *
     * @param now the time on the leader's clock
     * @return true if so; false again as soon as the failures are explained otherwise
     */
    boolean isSuspended(long now) {
        return now < suspendedUntil && !isTrusted();
    }

    /**
     * Gets until when the worker is suspended, as long as it is not trusted.
     *
     * @return the time on the leader's clock
     */
    long getSuspendedUntil() {
        return suspendedUntil;
    }

    /**
     * Extends the suspension, which holds as long as the worker is not trusted.
     *
     * @param until the time on the leader's clock; ignored if it is earlier than the present limit
     */
    void suspendUntil(long until) {
        suspendedUntil = Math.max(suspendedUntil, until);
    }

    /**
     * Gets until when nothing is started there, whatever the outcomes of its runs are.
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
