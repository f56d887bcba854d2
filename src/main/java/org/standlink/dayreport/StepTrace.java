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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.standlink.job.TaskName;

/**
 * The tasks of one step in one repetition of a job, as far as they have been assigned.
 *
 * <p>{@code StepTrace} is not thread-safe.
 */
final class StepTrace {

    private final Map<TaskName, TaskTrace> tasks = new LinkedHashMap<>();

    /**
     * Finds a task.
     *
     * @param name its name
     * @return the task, null if it has not been assigned
     */
    TaskTrace find(TaskName name) {
        return tasks.get(name);
    }

    /**
     * Adds a task.
     *
     * @param name its name
     * @return the task
     */
    TaskTrace add(TaskName name) {
        TaskTrace added = new TaskTrace();
        tasks.put(name, added);
        return added;
    }

    Iterable<TaskTrace> getTasks() {
        return tasks.values();
    }

    /** Gets the time between the first assignments of the first and the last task. */
    long getStartSpreadMillis() {
        return getLastStart() - getFirstStart();
    }

    /** Checks whether all tasks are done. */
    boolean isDone() {
        return tasks.values().stream().allMatch(TaskTrace::isDone);
    }

    /** Gets when the last task was completed, in milliseconds; only valid if all are done. */
    long getDoneAt() {
        return tasks.values().stream().mapToLong(TaskTrace::getDoneAt).max().orElse(0);
    }

    /**
     * Checks whether there is a wait for the slowest task.
     *
     * @return true if there are at least two tasks and all are done
     */
    boolean hasSlowestTask() {
        return tasks.size() > 1 && isDone();
    }

    /** Gets the time between the completion of the median and of the last task. */
    long getSlowestWaitMillis() {
        List<Long> ends = new ArrayList<>();
        tasks.values().forEach(task -> ends.add(task.getDoneAt()));
        ends.sort(null);
        return ends.get(ends.size() - 1) - ends.get((ends.size() - 1) / 2);
    }

    /** Describes the task that was completed last. */
    String describeSlowest() {
        Map.Entry<TaskName, TaskTrace> slowest = null;
        for (Map.Entry<TaskName, TaskTrace> task : tasks.entrySet()) {
            if (slowest == null || task.getValue().getDoneAt() > slowest.getValue().getDoneAt()) {
                slowest = task;
            }
        }
        TaskName name = slowest.getKey();
        TaskTrace task = slowest.getValue();
        return String.format(
                Locale.ROOT,
                "task %d.%d.%d: assigned %s s after the step's first, %d runs, %s s lost,"
                        + " last run %s s on %s",
                name.repetition(),
                name.step(),
                name.index(),
                Seconds.format(task.getFirstAssignedAt() - getFirstStart()),
                task.getRuns(),
                Seconds.format(task.getLostMillis()),
                Seconds.format(task.getDoneAt() - task.getAssignedAt()),
                task.getWorker());
    }

    /** Gets when the first run of any task was assigned, in milliseconds. */
    long getFirstStart() {
        return tasks.values().stream().mapToLong(TaskTrace::getFirstAssignedAt).min().orElse(0);
    }

    private long getLastStart() {
        return tasks.values().stream().mapToLong(TaskTrace::getFirstAssignedAt).max().orElse(0);
    }
}
