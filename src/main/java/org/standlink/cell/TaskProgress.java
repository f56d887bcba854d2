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
 * How far the last run of a task is, how long it still takes, and how long a move has held the task
 * up.
 *
 * <p>{@code TaskProgress} is mutable and not thread-safe; the leader's loop owns it.
 */
final class TaskProgress {

    /** The share of the work that is done at the end, in percent. */
    private static final int DONE_PERCENT = 100;

    /** Stands for a percentage or a time that is not known. */
    static final int UNKNOWN = -1;

    /** How much of the work is done, in percent; {@link #UNKNOWN} if the run is not listed. */
    private int percent = UNKNOWN;

    /** When that has changed last, on the leader's clock. */
    private long changedAt;

    /** How much of the work was done when the run was first listed, in percent. */
    private int firstPercent;

    /** When the run was first listed, on the leader's clock. */
    private long firstAt;

    /** How much of the work was done when the last move was decided, in percent. */
    private int movedPercent;

    /** When that was, on the leader's clock; {@link #UNKNOWN} once the task is further. */
    private long movedAt = UNKNOWN;

    /** Begins the next run. */
    void begin() {
        percent = UNKNOWN;
    }

    /**
     * Records how much of the work is done.
     *
     * @param told in percent
     * @param now the time on the leader's clock
     */
    void update(int told, long now) {
        if (percent == UNKNOWN) {
            firstPercent = told;
            firstAt = now;
        }
        if (told != percent) {
            percent = told;
            changedAt = now;
        }
    }

    /**
     * Records that the run is to be moved.
     *
     * @param now the time on the leader's clock
     */
    void beginMove(long now) {
        movedPercent = percent;
        movedAt = now;
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the worker has listed the run.
     *
     * @return true if so
     */
    boolean isReported() {
        return percent != UNKNOWN;
    }

    /**
     * Gets when the run made progress last.
     *
     * @return the time on the leader's clock
     */
    long getChangedAt() {
        return changedAt;
    }

    /**
     * Predicts how long the run still takes at the rate that it has had.
     *
     * @param now the time on the leader's clock
     * @return the time, in milliseconds; 0 if the run is not listed
     */
    double getRemainingMillis(long now) {
        if (!isReported()) {
            return 0;
        }
        double elapsed = now - firstAt;
        return (DONE_PERCENT - percent) * elapsed / Math.max(1, percent - firstPercent);
    }

    /**
     * Takes how long the last move has held the task up, if it has just come to its end.
     *
     * @param now the time on the leader's clock
     * @return the time, in milliseconds; negative if no move has come to its end
     */
    long takeMoveDurationMillis(long now) {
        if (movedAt == UNKNOWN || percent <= movedPercent) {
            return UNKNOWN;
        }
        long took = now - movedAt;
        movedAt = UNKNOWN;
        return took;
    }
}
