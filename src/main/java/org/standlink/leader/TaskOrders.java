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
package org.standlink.leader;

import java.util.HashMap;
import java.util.Map;
import org.standlink.Attempt;
import org.standlink.TaskId;
import org.standlink.log.TaskState;

/**
 * The throttles and stops that a leader has ordered for running attempts.
 *
 * <p>{@code TaskOrders} is mutable and not thread-safe; {@link LeaderService} synchronises access.
 */
final class TaskOrders {

    /** The share of its processors that an unthrottled task may use, in percent. */
    private static final int UNTHROTTLED_PERCENT = 100;

    /** The share of its processors that each throttled task may use, in percent. */
    private final Map<TaskId, Integer> throttles = new HashMap<>();

    /** The attempts to be stopped. */
    private final Map<TaskId, Attempt> stops = new HashMap<>();

    /**
     * Orders that a task be throttled.
     *
     * @param task the task
     * @param percent the share of its processors that it may use, in percent
     */
    void orderThrottle(TaskId task, int percent) {
        throttles.put(task, percent);
    }

    /**
     * Orders that an attempt be stopped.
     *
     * @param task the task
     * @param attempt the attempt to stop
     */
    void orderStop(TaskId task, Attempt attempt) {
        stops.put(task, attempt);
    }

    /**
     * Removes the orders for a task whose attempt has ended.
     *
     * @param task the task
     */
    void remove(TaskId task) {
        throttles.remove(task);
        stops.remove(task);
    }

    /**
     * Gets the throttle of a task.
     *
     * @param task the task
     * @return the share of its processors that it may use, in percent
     */
    int getThrottle(TaskId task) {
        return throttles.getOrDefault(task, UNTHROTTLED_PERCENT);
    }

    /**
     * Checks whether a stop of the current attempt of a task has been ordered.
     *
     * @param task the task
     * @return true if a stop has been ordered
     */
    boolean isStopOrdered(TaskState task) {
        return task.attempt().equals(stops.get(task.task()));
    }
}
