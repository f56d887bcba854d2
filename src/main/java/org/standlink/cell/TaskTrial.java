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
 * The evidence, from the runs of one task, on whether it crashes the workers that start it.
 *
 * <p>{@code TaskTrial} is not thread-safe; it is confined to the leader's event loop.
 */
final class TaskTrial {

    /**
     * How long a run must have been running to prove that its start does not crash the worker, in
     * milliseconds. The loss of a worker is reported within 900 ms, the time limit of a lease
     * renewal, plus a report interval.
     */
    private static final long START_PROOF_MILLIS = 1500;

    /**
     * How long a run must have been running for late crashes to be disregarded, in milliseconds.
     * Long-running tasks thereby outlast crashes caused by other tasks, unless these recur at
     * shorter intervals.
     */
    private static final long LATE_CRASH_RESET_MILLIS = 10_000;

    private CrashHistory crashes = CrashHistory.NONE;

    /**
     * When the last run was first listed as running, on the leader's clock; negative if it was not.
     */
    private long runningSince = -1;

    /**
     * Whether the last run was running for long enough to prove that its start crashes no worker.
     */
    private boolean proven;

    /**
     * Since when the next run has waited for isolation, on the leader's clock; negative if it has
     * not.
     */
    private long isolationWaitSince = -1;

    /** The number of abandoned runs of which it is not known whether they crashed their worker. */
    private int unresolvedRuns;

    // -----------------------------------------------------------------------
    /**
     * Restores the persisted state.
     *
     * @param record the record
     */
    void restore(SubmittedTaskRecord record) {
        crashes = CrashHistory.of(record.crashes(), record.lateCrashes(), record.suspicion());
    }

    /** Resets the evidence of the last run when the next run begins. */
    void begin() {
        runningSince = -1;
        proven = false;
        isolationWaitSince = -1;
    }

    /**
     * Records that the last run is running on a worker that responds.
     *
     * @param now the time on the leader's clock
     */
    void recordRunning(long now) {
        runningSince = runningSince < 0 ? now : runningSince;
        long runningMillis = now - runningSince;
        if (runningMillis >= START_PROOF_MILLIS) {
            proven = true;
            crashes =
                    runningMillis >= LATE_CRASH_RESET_MILLIS
                            ? CrashHistory.NONE
                            : crashes.withProvenStart();
        }
    }

    /**
     * Checks whether the last run was running for long enough to prove that its start does not
     * crash the worker.
     *
     * @return true if so
     */
    boolean isProven() {
        return proven;
    }

    /**
     * Checks whether the last run was ever listed as running on a worker that responded.
     *
     * @return true if so
     */
    boolean wasReportedRunning() {
        return runningSince >= 0;
    }

    /**
     * Records that no worker was found for the next run, if the task requires isolation.
     *
     * @param now the time on the leader's clock
     * @return how long the run has waited, in milliseconds; 0 if the task does not require
     *     isolation
     */
    long recordIsolationWait(long now) {
        if (!crashes.requiresIsolation()) {
            return 0;
        }
        isolationWaitSince = isolationWaitSince < 0 ? now : isolationWaitSince;
        return now - isolationWaitSince;
    }

    /**
     * Adjusts the number of abandoned runs of which it is not known whether they crashed their
     * worker.
     *
     * @param change 1 for a run that is abandoned, -1 once its outcome is known
     */
    void adjustUnresolvedRuns(int change) {
        unresolvedRuns += change;
    }

    /**
     * Checks whether the next run has to wait until the outcome of earlier runs is known.
     *
     * @return true if so
     */
    boolean isAwaitingOutcomes() {
        return unresolvedRuns > 0 && crashes.requiresKnownOutcome();
    }

    /**
     * Checks whether the last run may still crash its worker, as far as is known of the task.
     *
     * @return true if the task is suspected and the run is not yet proven
     */
    boolean isOnTrial() {
        return !proven && crashes.isSuspected();
    }

    /**
     * Gets the history of the workers that crashed while running the task.
     *
     * @return the history
     */
    CrashHistory getCrashHistory() {
        return crashes;
    }

    /**
     * Sets the history of the workers that crashed while running the task.
     *
     * @param history the history
     */
    void setCrashHistory(CrashHistory history) {
        crashes = history;
    }
}
