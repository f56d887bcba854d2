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
 * <p>{@code JobEntry} is mutable and not thread-safe; the leader's loop owns it.
 */
final class JobEntry {

    /**
     * The greatest age that a new leader believes, in milliseconds: clocks of machines differ, and
     * no job is of use to its caller after so long.
     */
    private static final long MOST_AGE_MILLIS = 600_000;

    /** The definition. */
    private final JobDefinition definition;

    /** The place in the order of acceptance. */
    private final long order;

    /** The tasks of each repetition and step. */
    private final List<List<List<TaskEntry>>> tasks = new ArrayList<>();

    /** The state. */
    private JobState state = JobState.QUEUED;

    /** The state in the append under way. */
    private JobState sentState = JobState.QUEUED;

    /** The state that was kept last; callers are told no other. */
    private JobState keptState = JobState.QUEUED;

    /** When the job was accepted, on the leader's clock. */
    private long acceptedAt;

    /** When the job was accepted, in milliseconds since 1970 by its leader's clock. */
    private long acceptedWallMillis;

    /** Since when nothing of it has run though it could, on the leader's clock; negative if not. */
    private long starvedSince = -1;

    /** When the job became final, on the leader's clock; negative before. */
    private long finalAt = -1;

    /**
     * Constructor.
     *
     * @param definition the definition
     * @param order the place in the order of acceptance
     */
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
        StepDefinition of = definition.steps().get(step);
        List<TaskEntry> made = new ArrayList<>();
        for (int index = 0; index < of.count(); index++) {
            made.add(new TaskEntry(new TaskName(definition.id(), repetition, step, index), of));
        }
        return made;
    }

    // -----------------------------------------------------------------------
    /**
     * Takes over what was kept.
     *
     * @param record the record
     */
    void restore(JobRecord record) {
        state = record.state();
        sentState = state;
        keptState = state;
        acceptedWallMillis = record.acceptedWallMillis();
        List<TaskEntry> all = allTasks().toList();
        for (int i = 0; i < Math.min(all.size(), record.tasks().size()); i++) {
            all.get(i).restore(record.tasks().get(i));
        }
    }

    /**
     * Makes the record to be kept.
     *
     * @return the record
     */
    JobRecord toRecord() {
        sentState = state;
        List<SubmittedTaskRecord> records = allTasks().map(TaskEntry::toRecord).toList();
        return new JobRecord(order, state, records, acceptedWallMillis);
    }

    /**
     * Works out the state from the tasks; a final state stays.
     *
     * @param mostAttempts how many runs of a task may fail
     */
    void updateState(int mostAttempts) {
        if (state.isFinal()) {
            return;
        }
        if (allTasks().anyMatch(task -> task.hasFailedPermanently(mostAttempts))) {
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
     * Lists the tasks whose turn has come and that run nowhere.
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
     * Works out the longest chain of work, by what the caller guessed.
     *
     * @param unfinished whether only steps count that are not done
     * @return the length, in milliseconds
     */
    long criticalPathMillis(boolean unfinished) {
        List<List<TaskEntry>> first = tasks.get(0);
        long[] chain = new long[first.size()];
        long longest = 0;
        for (int step = 0; step < chain.length; step++) {
            StepDefinition of = definition.steps().get(step);
            for (int earlier : of.after()) {
                chain[step] = Math.max(chain[step], chain[earlier]);
            }
            boolean counts = !unfinished || !isDone(first.get(step));
            chain[step] += counts ? of.estimatedMillis() : 0;
            longest = Math.max(longest, chain[step]);
        }
        return longest;
    }

    /**
     * Checks whether nothing of the job is left to do, also on any worker.
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
        return allTasks().anyMatch(TaskEntry::hasBegun);
    }

    /**
     * Takes note that a task found no worker.
     *
     * @param now the time on the leader's clock
     * @return for how long nothing of the job has run, in milliseconds; 0 if something does
     */
    long recordStarvation(long now) {
        if (allTasks().anyMatch(task -> task.getWorker() != null)) {
            starvedSince = -1;
            return 0;
        }
        starvedSince = starvedSince < 0 ? now : starvedSince;
        return now - starvedSince;
    }

    /** Takes note that a task found a worker. */
    void clearStarvation() {
        starvedSince = -1;
    }

    private long dueMillis(int repetition) {
        return definition.firstStartMillis() + repetition * definition.intervalMillis();
    }

    private void addReady(List<List<TaskEntry>> steps, List<TaskEntry> ready) {
        for (int step = 0; step < steps.size(); step++) {
            boolean turn =
                    definition.steps().get(step).after().stream()
                            .allMatch(earlier -> isDone(steps.get(earlier)));
            if (turn) {
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
        boolean there =
                name.repetition() < tasks.size()
                        && name.step() < definition.steps().size()
                        && name.index() < definition.steps().get(name.step()).count();
        return there ? tasks.get(name.repetition()).get(name.step()).get(name.index()) : null;
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
    /**
     * Gets the identifier.
     *
     * @return the identifier
     */
    JobId getId() {
        return definition.id();
    }

    /**
     * Gets the definition.
     *
     * @return the definition
     */
    JobDefinition getDefinition() {
        return definition;
    }

    /**
     * Gets the place in the order of acceptance.
     *
     * @return the place
     */
    long getOrder() {
        return order;
    }

    /**
     * Gets the state.
     *
     * @return the state
     */
    JobState getState() {
        return state;
    }

    /** Takes note that the record made last has been kept. */
    void markPersisted() {
        keptState = sentState;
    }

    /**
     * Gets the state that was kept last.
     *
     * @return the state that callers may be told, since no new leader can fall behind it
     */
    JobState getPersistedState() {
        return keptState;
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
     * Takes note that the job is accepted.
     *
     * @param now the time on the leader's clock
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    void markAccepted(long now, long wallMillis) {
        acceptedAt = now;
        acceptedWallMillis = wallMillis;
    }

    /**
     * Checks whether the job was ever submitted, not only cancelled.
     *
     * @return true if so
     */
    boolean isAccepted() {
        return acceptedWallMillis > 0;
    }

    /**
     * Works out when a job that was read had been accepted.
     *
     * @param now the time on the leader's clock
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    void restoreAcceptanceTime(long now, long wallMillis) {
        long age = Math.min(MOST_AGE_MILLIS, wallMillis - acceptedWallMillis);
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
