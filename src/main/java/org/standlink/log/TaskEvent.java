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
package org.standlink.log;

import org.standlink.Attempt;
import org.standlink.Resources;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * One change in the life of a task.
 *
 * <p>{@code TaskEvent} is thread-safe and immutable.
 *
 * @param kind what happened
 * @param task the task
 * @param attempt the attempt it is about
 * @param worker the VM assigned to, null unless assigned
 * @param resources what the attempt may use, null unless assigned
 * @param checkpoint where to resume from, null if none
 */
public record TaskEvent(
        Kind kind,
        TaskId task,
        Attempt attempt,
        VmId worker,
        Resources resources,
        String checkpoint) {

    /** What happened to a task. */
    public enum Kind {
        /** The attempt may run on the worker. */
        ASSIGN,
        /** The attempt runs no more and the task may be assigned again. */
        RELEASE,
        /** The attempt ended without being done; the task may be assigned again. */
        FAIL,
        /** The task is done. */
        FINISH
    }

    /**
     * Makes an assignment.
     *
     * @param task the task
     * @param attempt the attempt
     * @param worker the VM assigned to
     * @param resources what the attempt may use
     * @return the event
     */
    public static TaskEvent ofAssign(
            TaskId task, Attempt attempt, VmId worker, Resources resources) {
        return new TaskEvent(Kind.ASSIGN, task, attempt, worker, resources, null);
    }

    /**
     * Makes the end of an attempt.
     *
     * @param kind how it ended
     * @param task the task
     * @param attempt the attempt
     * @param checkpoint where to resume from, null if none
     * @return the event
     */
    public static TaskEvent ofEnd(Kind kind, TaskId task, Attempt attempt, String checkpoint) {
        return new TaskEvent(kind, task, attempt, null, null, checkpoint);
    }
}
