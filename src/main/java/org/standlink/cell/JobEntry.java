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

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;

/**
 * The state of one job.
 *
 * <p>{@code JobEntry} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class JobEntry {

    /**
     * The maximum age that a new leader assumes for a job, in milliseconds: clocks of machines
     * differ, and no job is of use to its caller after that time.
     */
    private static final long MAX_AGE_MILLIS = 600_000;

    /**
     * The maximum number of tasks of a job that are placed at a time. The record of a placed task
     * is four times as long as that of another one.
     */
    private static final long MAX_PLACED_TASKS = 2000;

    private final JobDefinition definition;

    /** The position in the order of acceptance. */
    private final long order;

    /** The repetitions that are due and not finished. */
    private final RepetitionWindow window;

    private JobState state = JobState.QUEUED;

    /** The state in the append in progress. */
    private JobState sentState = JobState.QUEUED;

    /** The state that was last persisted; callers are shown no other. */
    private JobState persistedState = JobState.QUEUED;

    /** When the job was accepted, on the leader's clock. */
    private long acceptedAt;

    /**
     * When the job was accepted, in milliseconds since 1970 by the clock of its leader at that
     * time.
     */
    private long acceptedWallMillis;

    /**
     * Since when no task has run although one was ready, on the leader's clock; negative if not.
     */
    private long starvedSince = -1;

    /** When the job became final, on the leader's clock; negative before. */
    private long finalAt = -1;

    /**
     * Creates an entry.
     *
     * @param definition the definition
     * @param order the position in the order of acceptance
     * @param budget the number of tasks that may be kept
     */
    JobEntry(JobDefinition definition, long order, TaskBudget budget) {
        this.definition = definition;
        this.order = order;
        this.window = new RepetitionWindow(definition, budget);
    }

    // -----------------------------------------------------------------------
    /**
     * Restores the state from the store.
     *
     * @param record the record
     */
    void restore(JobRecord record) {
        state = record.state();
        sentState = state;
        persistedState = state;
        acceptedWallMillis = record.acceptedWallMillis();
        window.restore(record);
        releaseIfFinal();
    }

    /**
     * Creates the record to be persisted.
     *
     * @return the record
     */
    JobRecord toRecord() {
        sentState = state;
        if (definition.isTimed()) {
            return new JobRecord(
                    order,
                    state,
                    null,
                    acceptedWallMillis,
                    window.getFirstUnstarted(),
                    window.toRecords());
        }
        List<SubmittedTaskRecord> tasks = allTasks().map(TaskEntry::toRecord).toList();
        return new JobRecord(order, state, tasks, acceptedWallMillis, 0, null);
    }

    /**
     * Derives the state from the tasks; a final state stays.
     *
     * @param maxAttempts how many runs of a task may fail
     */
    void updateState(int maxAttempts) {
        if (state.isFinal()) {
            return;
        }
        if (allTasks().anyMatch(task -> task.hasFailedPermanently(maxAttempts))) {
            state = JobState.FAILED;
        } else if (window.isDone()) {
            state = JobState.COMPLETED;
        } else if (hasStarted()) {
            state = JobState.RUNNING;
        }
        window.closeFinished();
        releaseIfFinal();
    }

    /** A final job starts nothing, so only what its last runs need is kept, and not for long. */
    private void releaseIfFinal() {
        if (state.isFinal()) {
            window.release();
        }
    }

    /** Cancels the job, unless it is final. */
    void cancel() {
        if (!state.isFinal()) {
            state = JobState.CANCELLED;
            releaseIfFinal();
        }
    }

    /**
     * Lists the tasks that are ready to run and are not placed on a worker.
     *
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the tasks
     */
    List<TaskEntry> listReadyTasks(long wallMillis) {
        List<TaskEntry> ready = new ArrayList<>();
        if (state.isFinal()) {
            return ready;
        }
        window.openDue(wallMillis);
        window.getDue(wallMillis).forEach(repetition -> ready.addAll(repetition.listReadyTasks()));
        return ready;
    }

    /**
     * Gets the repetitions that are due and not finished, as far as there is room for them.
     *
     * @return the repetitions, in their order
     */
    RepetitionWindow getWindow() {
        return window;
    }

    /**
     * Calculates how many more tasks may be placed, so that the record of the job can be stored.
     *
     * @return the number of tasks
     */
    long getPlacementRoom() {
        if (window.countTasks() <= MAX_PLACED_TASKS) {
            return MAX_PLACED_TASKS;
        }
        return MAX_PLACED_TASKS - allTasks().filter(task -> task.getWorker() != null).count();
    }

    /**
     * Computes the length of the longest chain of steps, by the caller's estimates.
     *
     * @param unfinishedOnly whether to count only steps that are not done
     * @return the length, in milliseconds
     */
    long criticalPathMillis(boolean unfinishedOnly) {
        long[] pathMillis = new long[definition.steps().size()];
        long longest = 0;
        for (int step = 0; step < pathMillis.length; step++) {
            StepDefinition stepDefinition = definition.steps().get(step);
            for (int predecessor : stepDefinition.after()) {
                pathMillis[step] = Math.max(pathMillis[step], pathMillis[predecessor]);
            }
            boolean counted = !unfinishedOnly || !window.isFirstCompleted(step);
            pathMillis[step] += counted ? stepDefinition.estimatedMillis() : 0;
            longest = Math.max(longest, pathMillis[step]);
        }
        return longest;
    }

    /**
     * Checks whether the job is final and no task is placed on a worker any more.
     *
     * @return true if so
     */
    boolean isFinalAndReleased() {
        return state.isFinal() && allTasks().allMatch(task -> task.getWorker() == null);
    }

    /**
     * Checks whether a run of any task was ever ordered.
     *
     * @return true if so
     */
    boolean hasStarted() {
        return window.hasStarted();
    }

    /**
     * Records that a task found no worker.
     *
     * @param now the time on the leader's clock
     * @return how long no task of the job has run, in milliseconds; 0 if one does
     */
    long recordStarvation(long now) {
        if (allTasks().anyMatch(task -> task.getWorker() != null)) {
            starvedSince = -1;
            return 0;
        }
        starvedSince = starvedSince < 0 ? now : starvedSince;
        return now - starvedSince;
    }

    /** Records that a task found a worker. */
    void clearStarvation() {
        starvedSince = -1;
    }

    /**
     * Finds a task of an open repetition.
     *
     * @param name the name
     * @return the task, null if its repetition is finished or not yet open, or if the job has none
     *     of that name
     */
    TaskEntry findTask(TaskName name) {
        Repetition repetition = findStep(name) == null ? null : window.find(name.repetition());
        return repetition == null ? null : repetition.getTask(name);
    }

    /**
     * Finds the step of a task, of whichever repetition.
     *
     * @param name the name of the task
     * @return the step, null if the job has no task of that name
     */
    StepDefinition findStep(TaskName name) {
        boolean exists =
                name.repetition() < definition.repetitionCount()
                        && name.step() < definition.steps().size()
                        && name.index() < definition.steps().get(name.step()).count();
        return exists ? definition.steps().get(name.step()) : null;
    }

    /**
     * Lists the tasks of the open repetitions, in the order of repetition, step and index.
     *
     * @return the tasks
     */
    Stream<TaskEntry> allTasks() {
        return window.getOpen().stream().flatMap(Repetition::allTasks);
    }

    /** Gives back the room that the job was granted, once it is removed. */
    void release() {
        window.release();
    }

    // -----------------------------------------------------------------------
    JobId getId() {
        return definition.id();
    }

    JobDefinition getDefinition() {
        return definition;
    }

    /**
     * Gets the position in the order of acceptance.
     *
     * @return the position
     */
    long getOrder() {
        return order;
    }

    JobState getState() {
        return state;
    }

    /** Marks the state in the last record as persisted. */
    void markPersisted() {
        persistedState = sentState;
    }

    /**
     * Gets the state that was last persisted.
     *
     * @return the state that callers may be shown, since no new leader can start from an earlier
     *     one
     */
    JobState getPersistedState() {
        return persistedState;
    }

    /**
     * Gets when the job was accepted.
     *
     * @return the time on the leader's clock; before its start for a job of an earlier leader
     */
    long getAcceptedAt() {
        return acceptedAt;
    }

    /**
     * Marks the job as accepted.
     *
     * @param now the time on the leader's clock
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    void markAccepted(long now, long wallMillis) {
        acceptedAt = now;
        acceptedWallMillis = wallMillis;
    }

    /**
     * Checks whether the job was ever submitted, and not only cancelled.
     *
     * @return true if so
     */
    boolean isAccepted() {
        return acceptedWallMillis > 0;
    }

    /**
     * Computes when a restored job was accepted.
     *
     * @param now the time on the leader's clock
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    void restoreAcceptanceTime(long now, long wallMillis) {
        long age = Math.min(MAX_AGE_MILLIS, wallMillis - acceptedWallMillis);
        acceptedAt = now - Math.max(0, age);
    }

    /**
     * Gets when the job became final.
     *
     * @return the time on the leader's clock, negative before
     */
    long getFinalAt() {
        return finalAt;
    }

    /**
     * Sets when the job became final.
     *
     * @param millis the time on the leader's clock
     */
    void setFinalAt(long millis) {
        finalAt = millis;
    }
}
