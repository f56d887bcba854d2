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

    private final JobDefinition definition;

    /** The position in the order of acceptance. */
    private final long order;

    /** The tasks by repetition, step and index. */
    private final List<List<List<TaskEntry>>> tasks = new ArrayList<>();

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

    JobEntry(JobDefinition definition, long order) {
        this.definition = definition;
        this.order = order;
        for (int repetition = 0; repetition < definition.repetitionCount(); repetition++) {
            List<List<TaskEntry>> steps = new ArrayList<>();
            for (int step = 0; step < definition.steps().size(); step++) {
                steps.add(newTasks(repetition, step));
            }
            tasks.add(steps);
        }
    }

    private List<TaskEntry> newTasks(int repetition, int step) {
        StepDefinition stepDefinition = definition.steps().get(step);
        List<TaskEntry> created = new ArrayList<>();
        for (int index = 0; index < stepDefinition.count(); index++) {
            created.add(
                    new TaskEntry(
                            new TaskName(definition.id(), repetition, step, index),
                            stepDefinition));
        }
        return created;
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
        List<TaskEntry> all = allTasks().toList();
        for (int i = 0; i < Math.min(all.size(), record.tasks().size()); i++) {
            all.get(i).restore(record.tasks().get(i));
        }
    }

    /**
     * Creates the record to be persisted.
     *
     * @return the record
     */
    JobRecord toRecord() {
        sentState = state;
        List<SubmittedTaskRecord> records = allTasks().map(TaskEntry::toRecord).toList();
        return new JobRecord(order, state, records, acceptedWallMillis);
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
        } else if (allTasks().allMatch(TaskEntry::isDone)) {
            state = JobState.COMPLETED;
        } else if (hasStarted()) {
            state = JobState.RUNNING;
        }
    }

    /** Cancels the job, unless it is final. */
    void cancel() {
        if (!state.isFinal()) {
            state = JobState.CANCELLED;
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
        for (int repetition = 0; repetition < tasks.size(); repetition++) {
            if (definition.isTimed() && wallMillis < dueMillis(repetition)) {
                break;
            }
            addReady(tasks.get(repetition), ready);
        }
        return ready;
    }

    /**
     * Computes the length of the longest chain of steps, by the caller's estimates.
     *
     * @param unfinishedOnly whether to count only steps that are not done
     * @return the length, in milliseconds
     */
    long criticalPathMillis(boolean unfinishedOnly) {
        List<List<TaskEntry>> first = tasks.get(0);
        long[] pathMillis = new long[first.size()];
        long longest = 0;
        for (int step = 0; step < pathMillis.length; step++) {
            StepDefinition stepDefinition = definition.steps().get(step);
            for (int predecessor : stepDefinition.after()) {
                pathMillis[step] = Math.max(pathMillis[step], pathMillis[predecessor]);
            }
            boolean counted = !unfinishedOnly || !isDone(first.get(step));
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
        return allTasks().anyMatch(TaskEntry::hasStarted);
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

    private long dueMillis(int repetition) {
        return definition.firstStartMillis() + repetition * definition.intervalMillis();
    }

    private void addReady(List<List<TaskEntry>> steps, List<TaskEntry> ready) {
        for (int step = 0; step < steps.size(); step++) {
            boolean unblocked =
                    definition.steps().get(step).after().stream()
                            .allMatch(predecessor -> isDone(steps.get(predecessor)));
            if (unblocked) {
                steps.get(step).stream()
                        .filter(task -> !task.isDone() && task.getWorker() == null)
                        .filter(task -> !task.getTrial().isAwaitingOutcomes())
                        .forEach(ready::add);
            }
        }
    }

    private static boolean isDone(List<TaskEntry> step) {
        return step.stream().allMatch(TaskEntry::isDone);
    }

    /**
     * Finds a task.
     *
     * @param name the name
     * @return the task, null if the job has none of that name
     */
    TaskEntry findTask(TaskName name) {
        boolean exists =
                name.repetition() < tasks.size()
                        && name.step() < definition.steps().size()
                        && name.index() < definition.steps().get(name.step()).count();
        return exists ? tasks.get(name.repetition()).get(name.step()).get(name.index()) : null;
    }

    /**
     * Lists all tasks, in the order of repetition, step and index.
     *
     * @return the tasks
     */
    Stream<TaskEntry> allTasks() {
        return tasks.stream().flatMap(List::stream).flatMap(List::stream);
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
