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
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.standlink.job.JobDefinition;
import org.standlink.job.StepDefinition;

/**
 * The repetitions of a job that are due and not finished, which are the only ones that are kept.
 *
 * <p>A repetition is opened when it is due, and closed when all of its tasks are done and released.
 * Repetitions are opened in ascending order. Those from {@code next} on have not been opened; lower
 * ones that are not open are finished. The memory that a job takes is therefore independent of its
 * number of repetitions. A job without start times has one repetition, which is open from the start
 * and is never closed.
 *
 * <p>If many repetitions are due at once, the window opens further ones as tasks are placed.
 *
 * <p>{@code RepetitionWindow} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class RepetitionWindow {

    /** The maximum number of tasks in open repetitions, unless a single one has more. */
    static final int MAX_TASKS = 10_000;

    /** The number of waiting tasks of each first step from which on no repetition is opened. */
    static final int MAX_WAITING_TASKS = 64;

    private final JobDefinition definition;

    private final TaskBudget budget;

    private final NavigableMap<Integer, Repetition> open = new TreeMap<>();

    /** The first repetition that was never opened. */
    private int next;

    /** The last repetition that was closed, -1 if none. */
    private int lastClosed = -1;

    /** The number of tasks that are charged to the budget. */
    private long charged;

    /** Whether the job is final or removed, so that nothing is charged any more. */
    private boolean released;

    /**
     * Creates the window of a job of which nothing has been started.
     *
     * @param definition the job
     * @param budget the number of tasks that may be kept
     */
    RepetitionWindow(JobDefinition definition, TaskBudget budget) {
        this.definition = definition;
        this.budget = budget;
        if (!definition.isTimed()) {
            openNext();
        }
        charge();
    }

    /**
     * Restores the state of the tasks from a record.
     *
     * @param record the record, possibly of an earlier version, which stored all repetitions
     */
    void restore(JobRecord record) {
        if (record.repetitions() != null && definition.isTimed()) {
            next = record.nextRepetition();
            for (RepetitionRecord repetition : record.repetitions()) {
                restore(repetition.number(), repetition.tasks());
            }
        } else {
            restoreAll(record.tasks());
        }
        lastClosed = definition.isTimed() ? next - 1 : -1;
        closeFinished();
        charge();
    }

    private void restore(int number, List<SubmittedTaskRecord> tasks) {
        open.computeIfAbsent(number, key -> new Repetition(definition, key)).restore(tasks);
    }

    private void restoreAll(List<SubmittedTaskRecord> tasks) {
        if (!definition.isTimed()) {
            restore(0, tasks);
            return;
        }
        int size = Math.max(1, (int) definition.tasksPerRepetition());
        int last = tasks.size();
        while (last > 0 && tasks.get(last - 1).lastRun() == 0) {
            last--;
        }
        next = (last + size - 1) / size;
        for (int number = 0; number < next; number++) {
            int end = Math.min(tasks.size(), (number + 1) * size);
            List<SubmittedTaskRecord> part = tasks.subList(number * size, end);
            if (!part.stream().allMatch(task -> task.done() && task.worker().isEmpty())) {
                restore(number, part);
            }
        }
    }

    /**
     * Gets the first repetition that a new leader need not know of, since neither it nor any later
     * one was ever started.
     *
     * @return the number of the repetition
     */
    int getFirstUnstarted() {
        int last = lastClosed;
        for (Repetition repetition : open.descendingMap().values()) {
            if (repetition.getNumber() > last && repetition.hasStarted()) {
                last = repetition.getNumber();
                break;
            }
        }
        return last + 1;
    }

    /**
     * Creates the records of the repetitions that a new leader has to know of.
     *
     * @return the records, in the order of their numbers
     */
    List<RepetitionRecord> toRecords() {
        List<RepetitionRecord> records = new ArrayList<>();
        for (Repetition repetition : open.headMap(getFirstUnstarted()).values()) {
            records.add(new RepetitionRecord(repetition.getNumber(), repetition.toRecords()));
        }
        return records;
    }

    /**
     * Opens the repetitions that are due, as far as there is room.
     *
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    void openDue(long wallMillis) {
        while (countDueUnopened(wallMillis) > 0 && hasRoom()) {
            openNext();
            charge();
        }
    }

    private void openNext() {
        open.put(next, new Repetition(definition, next));
        next++;
    }

    /** The first open repetition was granted when the job was accepted. */
    private boolean hasRoom() {
        if (open.isEmpty()) {
            return true;
        }
        long size = definition.tasksPerRepetition();
        if ((open.size() + 1) * size > MAX_TASKS || !budget.hasRoomFor(size)) {
            return false;
        }
        for (int step = 0; step < definition.steps().size(); step++) {
            StepDefinition stepDefinition = definition.steps().get(step);
            if (stepDefinition.after().isEmpty() && countWaiting(step) < MAX_WAITING_TASKS) {
                return true;
            }
        }
        return false;
    }

    private int countWaiting(int step) {
        return open.values().stream().mapToInt(repetition -> repetition.countWaiting(step)).sum();
    }

    /** Closes the repetitions of which all tasks are done and released. */
    void closeFinished() {
        if (definition.isTimed()) {
            boolean closed =
                    open.values()
                            .removeIf(
                                    repetition -> {
                                        boolean finished = repetition.isDoneAndReleased();
                                        if (finished) {
                                            lastClosed =
                                                    Math.max(lastClosed, repetition.getNumber());
                                        }
                                        return finished;
                                    });
            if (closed) {
                charge();
            }
        }
    }

    /**
     * Counts the repetitions that are due and were never opened.
     *
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the number of repetitions
     */
    int countDueUnopened(long wallMillis) {
        return Math.max(0, countDue(wallMillis) - next);
    }

    private int countDue(long wallMillis) {
        long sinceFirst = wallMillis - definition.firstStartMillis();
        if (!definition.isTimed()) {
            return 1;
        }
        if (sinceFirst < 0) {
            return 0;
        }
        if (definition.intervalMillis() <= 0) {
            return definition.repetitions();
        }
        return (int)
                Math.min(definition.repetitions(), sinceFirst / definition.intervalMillis() + 1);
    }

    /**
     * Counts the repetitions that were never opened.
     *
     * @return the number of repetitions, due or not
     */
    int countUnopened() {
        return definition.repetitionCount() - next;
    }

    /**
     * Counts the tasks of the open repetitions.
     *
     * @return the number of tasks
     */
    long countTasks() {
        return open.size() * definition.tasksPerRepetition();
    }

    /**
     * Gets the open repetitions that are due. Others may be open after the clock was set back.
     *
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the repetitions, in the order of their numbers
     */
    Collection<Repetition> getDue(long wallMillis) {
        return open.headMap(countDue(wallMillis)).values();
    }

    /**
     * Gets the open repetitions.
     *
     * @return the repetitions, in the order of their numbers
     */
    Collection<Repetition> getOpen() {
        return open.values();
    }

    /**
     * Finds an open repetition.
     *
     * @param number the number
     * @return the repetition, null if it is finished or was never opened
     */
    Repetition find(int number) {
        return open.get(number);
    }

    /**
     * Checks whether a run of each task of a step of the first repetition has completed.
     *
     * @param step the index of the step
     * @return true if so
     */
    boolean isFirstCompleted(int step) {
        Repetition first = open.get(0);
        return first == null ? next > 0 : first.isCompleted(step);
    }

    /**
     * Checks whether all tasks of all repetitions are done.
     *
     * @return true if so
     */
    boolean isDone() {
        return countUnopened() == 0 && open.values().stream().allMatch(Repetition::isDone);
    }

    /**
     * Checks whether a run of any task was ever ordered.
     *
     * @return true if so
     */
    boolean hasStarted() {
        return lastClosed >= 0 || open.values().stream().anyMatch(Repetition::hasStarted);
    }

    /** Charges the open repetitions to the budget, at least the one that the job may open next. */
    private void charge() {
        long tasks = released ? 0 : Math.max(1, open.size()) * definition.tasksPerRepetition();
        budget.adjust(tasks - charged);
        charged = tasks;
    }

    /** Gives back what was charged to the budget, once the job is final or removed. */
    void release() {
        released = true;
        charge();
    }
}
