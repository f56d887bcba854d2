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
 * The progress of a task's last run, its estimated remaining time, and the time by which a move has
 * delayed the task.
 *
 * <p>{@code TaskProgress} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class TaskProgress {

    /** The progress of a completed run, in percent. */
    private static final int COMPLETE_PERCENT = 100;

    /** Stands for an unknown percentage or time. */
    static final int UNKNOWN = -1;

    /** The progress, in percent; {@link #UNKNOWN} if the run is not listed. */
    private int percent = UNKNOWN;

    /** When the progress changed last, on the leader's clock. */
    private long changedAt;

    /** The progress when the run was first listed, in percent. */
    private int initialPercent;

    /** When the run was first listed, on the leader's clock. */
    private long listedAt;

    /** The progress when the last move was decided, in percent. */
    private int moveStartPercent;

    /**
     * When the last move was decided, on the leader's clock; {@link #UNKNOWN} once the task has
     * progressed further.
     */
    private long moveStartedAt = UNKNOWN;

    private final RestartBackoff backoff = new RestartBackoff();

    /**
     * Gets the delay of the next run, if the task is long-running.
     *
     * @return the delay, which changes with the ends of the runs
     */
    RestartBackoff getBackoff() {
        return backoff;
    }

    /** Resets the progress for the next run. */
    void begin() {
        percent = UNKNOWN;
    }

    /**
     * Records the progress.
     *
     * @param reportedPercent the progress, in percent
     * @param now the time on the leader's clock
     */
    void update(int reportedPercent, long now) {
        if (percent == UNKNOWN) {
            initialPercent = reportedPercent;
            listedAt = now;
        }
        if (reportedPercent != percent) {
            percent = reportedPercent;
            changedAt = now;
        }
    }

    /**
     * Records that the run is to be moved.
     *
     * @param now the time on the leader's clock
     */
    void beginMove(long now) {
        moveStartPercent = percent;
        moveStartedAt = now;
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the worker has listed the run.
     *
     * @return true if so
     */
    boolean isListed() {
        return percent != UNKNOWN;
    }

    /**
     * Gets how long the run has been listed.
     *
     * @param now the time on the leader's clock
     * @return the time, in milliseconds; 0 if the run is not listed
     */
    long getListedMillis(long now) {
        return isListed() ? now - listedAt : 0;
    }

    /**
     * Gets when the progress changed last.
     *
     * @return the time on the leader's clock
     */
    long getChangedAt() {
        return changedAt;
    }

    /**
     * Gets the share of the run's work that remains.
     *
     * @return the share, 0 to 1; 1 if the run is not listed
     */
    double getRemainingShare() {
        return isListed() ? (COMPLETE_PERCENT - percent) / (double) COMPLETE_PERCENT : 1;
    }

    /**
     * Estimates the remaining time of the run from its rate of progress so far.
     *
     * @param now the time on the leader's clock
     * @return the time, in milliseconds; 0 if the run is not listed
     */
    double getRemainingMillis(long now) {
        if (!isListed()) {
            return 0;
        }
        double elapsed = now - listedAt;
        return (COMPLETE_PERCENT - percent) * elapsed / Math.max(1, percent - initialPercent);
    }

    /**
     * Takes the duration of the last move, if the move has just been completed.
     *
     * @param now the time on the leader's clock
     * @return how long the move delayed the task, in milliseconds; negative if no move was
     *     completed
     */
    long takeMoveDurationMillis(long now) {
        if (moveStartedAt == UNKNOWN || percent <= moveStartPercent) {
            return UNKNOWN;
        }
        long durationMillis = now - moveStartedAt;
        moveStartedAt = UNKNOWN;
        return durationMillis;
    }
}
