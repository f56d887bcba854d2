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
 * What the runs of one task have shown of whether it crashes the workers that start it.
 *
 * <p>{@code TaskTrial} is not thread-safe; the leader's loop owns it.
 */
final class TaskTrial {

    /**
     * How long a run must have been at work to show that its start does not crash its worker, in
     * milliseconds: that a worker is gone is told within 900, the time limit of a renewal, and a
     * report.
     */
    private static final long PROVEN_MILLIS = 1500;

    /**
     * How long a run must have been at work for late crashes to count no more, in milliseconds.
     * Tasks that last outlive crashes that others cause, unless these come faster than that.
     */
    private static final long FORGIVEN_MILLIS = 10_000;

    /** What is known of the workers that crashed under the task. */
    private CrashHistory crashes = CrashHistory.NONE;

    /** When the last run was first listed as at work, on the leader's clock; negative if not. */
    private long seenAt = -1;

    /** Whether the last run was at work for long enough to show that it crashes no worker. */
    private boolean proven;

    /** Since when the next run waits for a place apart, on the leader's clock; negative if not. */
    private long waitingSince = -1;

    /** How many runs were given up of which it is not known whether they crashed their worker. */
    private int unclear;

    // -----------------------------------------------------------------------
    /**
     * Takes over what was kept.
     *
     * @param record the record
     */
    void restore(SubmittedTaskRecord record) {
        crashes = CrashHistory.of(record.crashes(), record.lateCrashes(), record.suspicion());
    }

    /** Takes note that the next run begins. */
    void begin() {
        seenAt = -1;
        proven = false;
        waitingSince = -1;
    }

    /**
     * Takes note that the last run is at work on a worker that answers.
     *
     * @param now the time on the leader's clock
     */
    void recordRunning(long now) {
        seenAt = seenAt < 0 ? now : seenAt;
        long atWork = now - seenAt;
        if (atWork >= PROVEN_MILLIS) {
            proven = true;
            crashes = atWork >= FORGIVEN_MILLIS ? CrashHistory.NONE : crashes.withProvenStart();
        }
    }

    /**
     * Checks whether the last run was at work for long enough to show that its start does not crash
     * its worker.
     *
     * @return true if so
     */
    boolean isProven() {
        return proven;
    }

    /**
     * Checks whether the last run was ever listed as at work on a worker that answered.
     *
     * @return true if so
     */
    boolean wasReportedRunning() {
        return seenAt >= 0;
    }

    /**
     * Takes note that the next run found no place, if the task is to begin apart from others.
     *
     * @param now the time on the leader's clock
     * @return for how long it has waited, in milliseconds; 0 if it is not to begin apart
     */
    long recordIsolationWait(long now) {
        if (!crashes.requiresIsolation()) {
            return 0;
        }
        waitingSince = waitingSince < 0 ? now : waitingSince;
        return now - waitingSince;
    }

    /**
     * Takes note of a run that was given up, or of what became of it.
     *
     * @param change 1 if it is not known whether the run crashed its worker, -1 once it is
     */
    void adjustUnresolvedRuns(int change) {
        unclear += change;
    }

    /**
     * Checks whether the next run has to wait until it is known what became of earlier ones.
     *
     * @return true if so
     */
    boolean isAwaitingOutcomes() {
        return unclear > 0 && crashes.requiresKnownOutcome();
    }

    /**
     * Checks whether the last run may yet crash its worker, as far as is known of the task.
     *
     * @return true if it is suspected and has not been at work for long enough
     */
    boolean isOnTrial() {
        return !proven && crashes.isSuspected();
    }

    /**
     * Gets what is known of the workers that crashed under the task.
     *
     * @return the history
     */
    CrashHistory getCrashes() {
        return crashes;
    }

    /**
     * Sets what is known of the workers that crashed under the task.
     *
     * @param history the history
     */
    void setCrashes(CrashHistory history) {
        crashes = history;
    }
}
