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
 * The state of one task: its runs so far and where it runs now.
 *
 * <p>{@code TaskEntry} is mutable and not thread-safe; the leader's loop owns it.
 */
final class TaskEntry {

    /** The name. */
    private final TaskName name;

    /** The step. */
    private final StepDefinition step;

    /** The number of the last run, 0 before the first. */
    private int lastRun;

    /** How many runs have failed. */
    private int failures;

    /** The number of the last run that was counted as failed. */
    private int lastFailedRun;

    /** Whether a run has ended well. */
    private boolean done;

    /** Where the last run may still be, null if nowhere. */
    private WorkerIncarnation worker;

    /** The state that was saved last, empty if none. */
    private String checkpoint = "";

    /**
     * Where the last run that failed, stood still or was held back was, null if none; not kept in
     * the store.
     */
    private WorkerIncarnation failedOn;

    /** How far the last run is, and what moves have cost the task. */
    private final TaskProgress progress = new TaskProgress();

    /** Whether the task may crash its workers. */
    private final TaskTrial trial = new TaskTrial();

    /** Whether the last run is being stopped, since it stands still or its worker leaves. */
    private boolean stopping;

    /**
     * Constructor.
     *
     * @param name the name
     * @param step the step
     */
    TaskEntry(TaskName name, StepDefinition step) {
        this.name = name;
        this.step = step;
    }

    // -----------------------------------------------------------------------
    /**
     * Takes over what was kept.
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
        trial.restore(record);
    }

    /**
     * Makes the record to be kept.
     *
     * @return the record
     */
    SubmittedTaskRecord toRecord() {
        CrashHistory crashes = trial.getCrashes();
        String place = worker == null ? "" : worker.toString();
        return new SubmittedTaskRecord(
                lastRun,
                failures,
                lastFailedRun,
                done,
                place,
                checkpoint,
                crashes.getStartupCrashes(),
                crashes.getLateCrashes(),
                crashes.getSuspicionPerMille());
    }

    // -----------------------------------------------------------------------
    /**
     * Begins the next run.
     *
     * @param place where
     */
    void assign(WorkerIncarnation place) {
        lastRun++;
        worker = place;
        progress.begin();
        trial.begin();
        stopping = false;
    }

    /**
     * Takes note that the last run is on another life of its worker, which its start has reached.
     *
     * @param place that life
     */
    void setWorker(WorkerIncarnation place) {
        worker = place;
    }

    /** Takes note that the last run is over, or never began. */
    void release() {
        worker = null;
    }

    /**
     * Takes note of an end.
     *
     * @param from the worker that listed it
     * @param end the end
     * @return true if this changed anything
     */
    boolean recordEnd(WorkerIncarnation from, RunEnd end) {
        if (done) {
            return false;
        }
        int number = end.run().number();
        boolean current = number == lastRun && from.equals(worker);
        if (end.kind() == RunEndKind.DONE) {
            done = true;
            if (current) {
                worker = null;
            }
            return true;
        }
        boolean counted = end.kind() == RunEndKind.FAILED && number > lastFailedRun;
        if (counted) {
            failures++;
            lastFailedRun = number;
            failedOn = from;
        }
        if (current) {
            worker = null;
            saveCheckpoint(end.checkpoint());
        }
        return counted || current;
    }

    /**
     * Takes note of a saved state.
     *
     * @param saved the state, empty if none
     */
    void saveCheckpoint(String saved) {
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }

    /**
     * Checks whether no more runs are to begin.
     *
     * @param mostAttempts how many runs may fail, but for tasks that last
     * @return true if too many have failed, or if the task crashes its workers
     */
    boolean hasFailedPermanently(int mostAttempts) {
        boolean failed = !step.longRunning() && failures >= mostAttempts;
        return !done && (failed || trial.getCrashes().isFailedPermanently());
    }

    /**
     * Checks whether the last run has stood still for a while; tells so once.
     *
     * @param heardAt when its worker's agent was heard last, on the leader's clock
     * @param millis how long a run may stand still, in milliseconds
     * @return true if it is to be stopped
     */
    boolean detectStall(long heardAt, long millis) {
        boolean judged = worker != null && isListed() && !step.longRunning() && !step.gang();
        if (!judged || stopping || heardAt - progress.getChangedAt() < millis) {
            return false;
        }
        stopping = true;
        failedOn = worker;
        return true;
    }

    /**
     * Takes note that the last run is to go on elsewhere.
     *
     * @return false if it is being stopped already
     */
    boolean beginMove() {
        boolean begins = !stopping;
        stopping = true;
        return begins;
    }

    /**
     * Takes note that the last run is to go on elsewhere, since it is held back where it is.
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
     * Checks whether the last run is being stopped, so that it goes on elsewhere.
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
        return progress.isReported();
    }

    /**
     * Checks whether the last run is known to be at work, and not being stopped.
     *
     * @return true if so
     */
    boolean isRunning() {
        return worker != null && isListed() && !stopping;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the name.
     *
     * @return the name
     */
    TaskName getName() {
        return name;
    }

    /**
     * Gets the step.
     *
     * @return the step
     */
    StepDefinition getStep() {
        return step;
    }

    /**
     * Gets the last run.
     *
     * @return the run
     */
    RunId getRun() {
        return new RunId(name, lastRun);
    }

    /**
     * Checks whether a run was ever ordered.
     *
     * @return true if so
     */
    boolean hasBegun() {
        return lastRun > 0;
    }

    /**
     * Gets how many runs have failed.
     *
     * @return the number
     */
    int getFailures() {
        return failures;
    }

    /**
     * Takes how long the last move has held the task up, if it has just come to its end.
     *
     * @param now the time on the leader's clock
     * @return the time, in milliseconds; negative if no move has come to its end
     */
    long takeMoveDurationMillis(long now) {
        return stopping ? TaskProgress.UNKNOWN : progress.takeMoveDurationMillis(now);
    }

    /**
     * Gets how far the last run is.
     *
     * @return the progress, which changes
     */
    TaskProgress getProgress() {
        return progress;
    }

    /**
     * Gets whether the task may crash its workers.
     *
     * @return what is known of that
     */
    TaskTrial getTrial() {
        return trial;
    }

    /**
     * Checks whether a run has ended well.
     *
     * @return true if so
     */
    boolean isDone() {
        return done;
    }

    /**
     * Gets where the last run may still be.
     *
     * @return the worker, null if nowhere
     */
    WorkerIncarnation getWorker() {
        return worker;
    }

    /**
     * Gets the state that was saved last.
     *
     * @return the state, empty if none
     */
    String getCheckpoint() {
        return checkpoint;
    }

    /**
     * Gets where the last failed run was.
     *
     * @return the worker, null if none
     */
    WorkerIncarnation getFailedOn() {
        return failedOn;
    }
}
