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

import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;

/**
 * The state of one task: its past runs and the worker of the last one.
 *
 * <p>{@code TaskEntry} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class TaskEntry {

    private final TaskName name;

    private final StepDefinition step;

    /** The number of the last run, 0 before the first. */
    private int lastRun;

    /** The number of failed runs. */
    private int failures;

    /** The number of the last run that was counted as failed. */
    private int lastFailedRun;

    /** Whether a run has completed; the next one of a long-running task begins nevertheless. */
    private boolean done;

    /** The worker on which the last run may still be, null if there is none. */
    private WorkerIncarnation worker;

    /** The last checkpoint, empty if none. */
    private String checkpoint = "";

    /**
     * Where the last run that failed, stalled or was throttled had been, null if none; not
     * persisted.
     */
    private WorkerIncarnation failedOn;

    private final EarlierStarts earlierStarts = new EarlierStarts();

    private final TaskProgress progress = new TaskProgress();

    private final TaskTrial trial = new TaskTrial();

    /** Whether the last run is being stopped, because it has stalled or is to be moved. */
    private boolean stopping;

    /** Whether the last run was assigned by this leader; not persisted. */
    private boolean assignedHere;

    TaskEntry(TaskName name, StepDefinition step) {
        this.name = name;
        this.step = step;
    }

    // -----------------------------------------------------------------------
    /**
     * Restores the persisted state.
     *
     * @param record the record
     */
    void restore(SubmittedTaskRecord record) {
        lastRun = record.lastRun();
        failures = record.failures();
        lastFailedRun = record.lastFailedRun();
        done = record.done();
        worker = record.worker().isEmpty() ? null : WorkerIncarnation.parse(record.worker());
        checkpoint = record.checkpoint();
        earlierStarts.setInDoubt(record.startInDoubt());
        trial.restore(record);
    }

    /**
     * Makes the record to be persisted.
     *
     * @return the record
     */
    SubmittedTaskRecord toRecord() {
        CrashHistory crashes = trial.getCrashHistory();
        String incarnation = worker == null ? "" : worker.toString();
        return new SubmittedTaskRecord(
                lastRun,
                failures,
                lastFailedRun,
                done,
                incarnation,
                checkpoint,
                crashes.getStartupCrashes(),
                crashes.getLateCrashes(),
                crashes.getSuspicionPerMille(),
                earlierStarts.isInDoubt());
    }

    // -----------------------------------------------------------------------
    /**
     * Begins the next run.
     *
     * @param incarnation the worker
     */
    void assign(WorkerIncarnation incarnation) {
        lastRun++;
        worker = incarnation;
        earlierStarts.setBarringWorker(null);
        progress.begin();
        trial.begin();
        stopping = false;
        assignedHere = true;
    }

    /**
     * Records that the last run is on another incarnation of its worker, which has executed the
     * order to start it.
     *
     * @param incarnation the incarnation
     */
    void setWorker(WorkerIncarnation incarnation) {
        worker = incarnation;
    }

    /** Records that the last run has ended, or was never started. */
    void release() {
        worker = null;
    }

    /**
     * Records the end of a run.
     *
     * @param from the worker that reported it
     * @param end the end
     * @return true if this changed the task
     */
    boolean recordEnd(WorkerIncarnation from, RunEnd end) {
        if (isDone()) {
            return false;
        }
        int number = end.run().number();
        boolean current = number == lastRun && from.equals(worker);
        if (end.kind() == RunEndKind.DONE) {
            boolean changed = !done || current;
            done = true;
            if (current) {
                worker = null;
                earlierStarts.setBarringWorker(from);
            }
            // The next run of a long-running task begins anew.
            checkpoint = current || isDone() ? "" : checkpoint;
            return changed;
        }
        boolean counted = end.kind() == RunEndKind.FAILED && number > lastFailedRun;
        if (counted) {
            failures++;
            lastFailedRun = number;
            failedOn = from;
        }
        if (current) {
            worker = null;
            earlierStarts.setBarringWorker(from);
            saveCheckpoint(end.checkpoint());
        }
        return counted || current;
    }

    /**
     * Records a checkpoint.
     *
     * @param newCheckpoint the checkpoint, empty if none
     */
    void saveCheckpoint(String newCheckpoint) {
        if (!newCheckpoint.isEmpty()) {
            checkpoint = newCheckpoint;
        }
    }

    /**
     * Checks whether the task has failed permanently, so that no more runs are started.
     *
     * @param maxAttempts how many runs may fail; ignored for long-running tasks
     * @return true if too many runs have failed, or if the task crashes its workers
     */
    boolean hasFailedPermanently(int maxAttempts) {
        boolean failed = !step.longRunning() && failures >= maxAttempts;
        return !isDone() && (failed || trial.getCrashHistory().isFailedPermanently());
    }

    /**
     * Checks whether the last run has made no progress for a while; returns true only once for a
     * run.
     *
     * @param lastReportMillis when the last report of the worker's agent arrived, on the leader's
     *     clock
     * @param timeoutMillis how long a run may make no progress, in milliseconds
     * @return true if the run is to be stopped
     */
    boolean detectStall(long lastReportMillis, long timeoutMillis) {
        boolean observed = worker != null && isListed() && !step.longRunning() && !step.gang();
        if (!observed || stopping || lastReportMillis - progress.getChangedAt() < timeoutMillis) {
            return false;
        }
        stopping = true;
        failedOn = worker;
        return true;
    }

    /**
     * Records that the last run is being stopped, to be continued on another worker.
     *
     * @return false if it is being stopped already
     */
    boolean beginMove() {
        boolean begins = !stopping;
        stopping = true;
        return begins;
    }

    /**
     * Records that the last run is being stopped because it is throttled, to be continued on
     * another worker.
     *
     * @param now the time on the leader's clock
     * @return false if it is being stopped already
     */
    boolean beginMoveFromThrottled(long now) {
        boolean begins = beginMove();
        if (begins) {
            failedOn = worker;
            progress.beginMove(now);
        }
        return begins;
    }

    /**
     * Checks whether the last run is being stopped, to be continued on another worker.
     *
     * @return true if so
     */
    boolean isStopping() {
        return stopping;
    }

    /**
     * Checks whether the worker has listed the last run.
     *
     * @return true if so
     */
    boolean isListed() {
        return progress.isListed();
    }

    /**
     * Checks whether the last run was assigned by this leader and has not been listed since, so
     * that its start may still be in progress.
     *
     * @return true if so
     */
    boolean isStarting() {
        return assignedHere && !isListed();
    }

    /**
     * Checks whether the last run is known to be running, and is not being stopped.
     *
     * @return true if so
     */
    boolean isRunning() {
        return worker != null && isListed() && !stopping;
    }

    // -----------------------------------------------------------------------
    TaskName getName() {
        return name;
    }

    StepDefinition getStep() {
        return step;
    }

    RunId getRun() {
        return new RunId(name, lastRun);
    }

    /**
     * Checks whether a start was ever ordered.
     *
     * @return true if so
     */
    boolean hasStarted() {
        return lastRun > 0;
    }

    int getFailures() {
        return failures;
    }

    /**
     * Takes the duration of the last move, if the move has just been completed.
     *
     * @param now the time on the leader's clock
     * @return how long the move delayed the task, in milliseconds; negative if no move was
     *     completed
     */
    long takeMoveDurationMillis(long now) {
        return stopping ? TaskProgress.UNKNOWN : progress.takeMoveDurationMillis(now);
    }

    /**
     * Gets the progress of the last run.
     *
     * @return the progress, which is updated with each report
     */
    TaskProgress getProgress() {
        return progress;
    }

    /**
     * Gets the evidence on whether the task crashes its workers.
     *
     * @return the trial of the task
     */
    TaskTrial getTrial() {
        return trial;
    }

    /**
     * Checks whether the task is finished. A long-running one never is, however its runs end.
     *
     * @return true if no run is needed any more
     */
    boolean isDone() {
        return done && !step.longRunning();
    }

    /**
     * Checks whether a run has completed, so that the steps that depend on it may start.
     *
     * @return true if so
     */
    boolean hasCompletedRun() {
        return done;
    }

    /**
     * Gets where the last run may still be.
     *
     * @return the worker, null if there is none
     */
    WorkerIncarnation getWorker() {
        return worker;
    }

    /**
     * Gets what is known of start calls for earlier runs.
     *
     * @return the earlier starts
     */
    EarlierStarts getEarlierStarts() {
        return earlierStarts;
    }

    /**
     * Gets the last checkpoint.
     *
     * @return the checkpoint, empty if none
     */
    String getCheckpoint() {
        return checkpoint;
    }

    /**
     * Gets where the last run that failed, stalled or was throttled had been.
     *
     * @return the worker, null if none
     */
    WorkerIncarnation getFailedOn() {
        return failedOn;
    }
}
