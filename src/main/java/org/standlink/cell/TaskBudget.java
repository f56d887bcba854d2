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
 * The number of tasks that a leader may keep in memory, shared by its jobs.
 *
 * <p>{@code TaskBudget} is not thread-safe; it is confined to the leader's event loop.
 */
final class TaskBudget {

    /**
     * The maximum number of tasks of all unfinished jobs. A task takes about 300 bytes, a quarter
     * of an agent's heap at this number.
     */
    static final long MAX_TASKS = 100_000;

    private long used;

    /**
     * Checks whether more tasks may be kept.
     *
     * @param tasks the number of further tasks
     * @return true if so
     */
    boolean hasRoomFor(long tasks) {
        return used + tasks <= MAX_TASKS;
    }

    /**
     * Adjusts the number of tasks that are kept.
     *
     * @param change the number of tasks added, negative if tasks are removed
     */
    void adjust(long change) {
        used += change;
    }
}
