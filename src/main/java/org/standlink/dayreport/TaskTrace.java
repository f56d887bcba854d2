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
package org.standlink.dayreport;

/**
 * The runs of one task.
 *
 * <p>{@code TaskTrace} is not thread-safe.
 */
final class TaskTrace {

    /** Stands for no run; runs are numbered from 1. */
    private static final int NO_RUN = 0;

    private int firstRun = NO_RUN;

    private long firstAssignedAt;

    private int activeRun = NO_RUN;

    private long assignedAt;

    private String worker = "";

    /** Why the active run is to be stopped, empty if it is not. */
    private String stopCause = "";

    /** The number of the run that completed the task. */
    private int doneRun = NO_RUN;

    private long doneAt;

    private int runs;

    private long lostMillis;

    /**
     * Begins a run.
     *
     * @param number the number of the run
     * @param newWorker the worker
     * @param time when it was assigned, in milliseconds
     */
    void assign(int number, String newWorker, long time) {
        firstRun = firstRun == NO_RUN ? number : firstRun;
        if (number == firstRun) {
            // If it was assigned before, that was not stored, and no run was started then.
            firstAssignedAt = time;
        }
        activeRun = number;
        worker = newWorker;
        assignedAt = time;
        stopCause = "";
        runs++;
    }

    /**
     * Records that a run is to be stopped, unless an earlier cause is known.
     *
     * @param number the number of the run; ignored if it is not active
     * @param cause the cause
     */
    void markStop(int number, String cause) {
        if (isActive(number) && stopCause.isEmpty()) {
            stopCause = cause;
        }
    }

    /**
     * Records that a run has completed the task.
     *
     * @param number the number of the run
     * @param time when, in milliseconds
     */
    void complete(int number, long time) {
        if (!isDone()) {
            doneRun = number;
            doneAt = time;
        }
        if (isActive(number)) {
            activeRun = NO_RUN;
        } else {
            markStop(activeRun, LostRunCause.TASK_DONE);
        }
    }

    /**
     * Ends the active run without a result.
     *
     * @param time when, in milliseconds
     * @return how long it had been assigned, in milliseconds
     */
    long lose(long time) {
        long millis = Math.max(0, time - assignedAt);
        activeRun = NO_RUN;
        lostMillis += millis;
        return millis;
    }

    /**
     * Ends the run that completed the task without a result, because the result was not stored.
     *
     * @return how long it had been assigned, in milliseconds
     */
    long revokeResult() {
        doneRun = NO_RUN;
        return lose(doneAt);
    }

    // -----------------------------------------------------------------------
    boolean isActive() {
        return activeRun != NO_RUN;
    }

    /**
     * Checks whether a run is active.
     *
     * @param number the number of the run
     */
    boolean isActive(int number) {
        return isActive() && activeRun == number;
    }

    int getActiveRun() {
        return activeRun;
    }

    String getWorker() {
        return worker;
    }

    String getStopCause() {
        return stopCause;
    }

    boolean isDone() {
        return doneRun != NO_RUN;
    }

    /**
     * Checks whether a run has completed the task.
     *
     * @param number the number of the run
     */
    boolean isDoneBy(int number) {
        return isDone() && doneRun == number;
    }

    /** Gets when the task was completed, in milliseconds; only valid if it is done. */
    long getDoneAt() {
        return doneAt;
    }

    /** Gets when the first run was assigned, in milliseconds. */
    long getFirstAssignedAt() {
        return firstAssignedAt;
    }

    /** Gets when the last run was assigned, in milliseconds. */
    long getAssignedAt() {
        return assignedAt;
    }

    int getRuns() {
        return runs;
    }

    /** Gets how long lost runs had been assigned, in milliseconds. */
    long getLostMillis() {
        return lostMillis;
    }
}
