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
import org.standlink.job.JobDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;

/**
 * The tasks of one repetition of a job.
 *
 * <p>{@code Repetition} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class Repetition {

    private final int number;

    private final JobDefinition definition;

    /** The tasks by step and index. */
    private final List<List<TaskEntry>> steps = new ArrayList<>();

    /**
     * Creates a repetition of which nothing has been started.
     *
     * @param definition the job
     * @param number the number, from 0
     */
    Repetition(JobDefinition definition, int number) {
        this.number = number;
        this.definition = definition;
        for (int step = 0; step < definition.steps().size(); step++) {
            StepDefinition stepDefinition = definition.steps().get(step);
            List<TaskEntry> tasks = new ArrayList<>(stepDefinition.count());
            for (int index = 0; index < stepDefinition.count(); index++) {
                TaskName name = new TaskName(definition.id(), number, step, index);
                tasks.add(new TaskEntry(name, stepDefinition));
            }
            steps.add(tasks);
        }
    }

    /**
     * Restores the state of the tasks.
     *
     * @param records the records, in the order of step and index; tasks without one are unchanged
     */
    void restore(List<SubmittedTaskRecord> records) {
        List<TaskEntry> tasks = allTasks().toList();
        for (int i = 0; i < Math.min(tasks.size(), records.size()); i++) {
            tasks.get(i).restore(records.get(i));
        }
    }

    /**
     * Creates the records of the tasks.
     *
     * @return the records, in the order of step and index; empty if nothing has been started
     */
    List<SubmittedTaskRecord> toRecords() {
        return hasStarted() ? allTasks().map(TaskEntry::toRecord).toList() : List.of();
    }

    int getNumber() {
        return number;
    }

    /**
     * Finds a task.
     *
     * @param name the name, which must be that of a task of this repetition
     * @return the task
     */
    TaskEntry getTask(TaskName name) {
        return steps.get(name.step()).get(name.index());
    }

    /**
     * Lists the tasks, in the order of step and index.
     *
     * @return the tasks
     */
    Stream<TaskEntry> allTasks() {
        return steps.stream().flatMap(List::stream);
    }

    /**
     * Checks whether a run of each task of a step has completed.
     *
     * @param step the index of the step
     * @return true if the steps that depend on it may start
     */
    boolean isCompleted(int step) {
        return steps.get(step).stream().allMatch(TaskEntry::hasCompletedRun);
    }

    /**
     * Checks whether all tasks are done.
     *
     * @return true if so
     */
    boolean isDone() {
        return allTasks().allMatch(TaskEntry::isDone);
    }

    /**
     * Checks whether all tasks are done and none is placed on a worker any more.
     *
     * @return true if nothing of this repetition can change any more
     */
    boolean isDoneAndReleased() {
        return allTasks().allMatch(task -> task.isDone() && task.getWorker() == null);
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
     * Lists the tasks that are ready to run and are not placed on a worker.
     *
     * @return the tasks
     */
    List<TaskEntry> listReadyTasks() {
        List<TaskEntry> ready = new ArrayList<>();
        for (int step = 0; step < steps.size(); step++) {
            boolean unblocked =
                    definition.steps().get(step).after().stream().allMatch(this::isCompleted);
            if (unblocked) {
                addReadyTasks(step, ready);
            }
        }
        return ready;
    }

    /**
     * Counts the tasks of a step that could run if nothing had to be done before, and are not
     * placed on a worker.
     *
     * @param step the index of the step
     * @return the number of tasks
     */
    int countWaiting(int step) {
        List<TaskEntry> waiting = new ArrayList<>();
        addReadyTasks(step, waiting);
        return waiting.size();
    }

    private void addReadyTasks(int step, List<TaskEntry> ready) {
        steps.get(step).stream()
                .filter(task -> !task.isDone() && task.getWorker() == null)
                .filter(task -> !task.getTrial().isAwaitingOutcomes())
                .forEach(ready::add);
    }
}
