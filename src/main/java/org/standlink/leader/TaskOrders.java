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
 * What a leader has ordered for running attempts: throttles and stops.
 *
 * <p>{@code TaskOrders} is mutable and not thread-safe; its leader guards it.
 */
final class TaskOrders {

    /** The share of its processors that a task may use when nothing is throttled, in percent. */
    private static final int UNTHROTTLED = 100;

    /** The throttle of each throttled task, in percent. */
    private final Map<TaskId, Integer> throttles = new HashMap<>();

    /** The attempts to be stopped. */
    private final Map<TaskId, Attempt> stops = new HashMap<>();

    /**
     * Orders a throttle.
     *
     * @param task the task
     * @param percent the share of its processors it may use, in percent
     */
    void orderThrottle(TaskId task, int percent) {
        throttles.put(task, percent);
    }

    /**
     * Orders a stop.
     *
     * @param task the task
     * @param attempt the attempt to stop
     */
    void orderStop(TaskId task, Attempt attempt) {
        stops.put(task, attempt);
    }

    /**
     * Forgets the orders for a task, because its attempt has ended.
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
     * @return the share of its processors it may use, in percent
     */
    int getThrottle(TaskId task) {
        return throttles.getOrDefault(task, UNTHROTTLED);
    }

    /**
     * Checks whether the attempt of a task is to be stopped.
     *
     * @param task the task
     * @return true if so
     */
    boolean isStopOrdered(TaskState task) {
        return task.attempt().equals(stops.get(task.task()));
    }
}
