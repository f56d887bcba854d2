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
 * A change in the state of a task.
 *
 * <p>{@code TaskEvent} is thread-safe and immutable.
 *
 * @param kind the kind of change
 * @param task the task
 * @param attempt the attempt that the event concerns
 * @param worker the VM that the attempt is assigned to, null unless assigned
 * @param resources the resources that the attempt may use, null unless assigned
 * @param checkpoint the checkpoint to resume from, null if there is none
 */
public record TaskEvent(
        Kind kind,
        TaskId task,
        Attempt attempt,
        VmId worker,
        Resources resources,
        String checkpoint) {

    /** The kinds of changes. */
    public enum Kind {
        /** The attempt may run on the worker. */
        ASSIGN,
        /** The attempt is no longer running; the task may be assigned again. */
        RELEASE,
        /** The attempt ended without completing the task, which may be assigned again. */
        FAIL,
        /** The task is complete. */
        FINISH
    }

    /**
     * Creates an assignment.
     *
     * @param task the task
     * @param attempt the attempt
     * @param worker the VM that the attempt is assigned to
     * @param resources the resources that the attempt may use
     * @return the event
     */
    public static TaskEvent ofAssign(
            TaskId task, Attempt attempt, VmId worker, Resources resources) {
        return new TaskEvent(Kind.ASSIGN, task, attempt, worker, resources, null);
    }

    /**
     * Creates the end of an attempt.
     *
     * @param kind how the attempt ended
     * @param task the task
     * @param attempt the attempt
     * @param checkpoint the checkpoint to resume from, null if there is none
     * @return the event
     */
    public static TaskEvent ofEnd(Kind kind, TaskId task, Attempt attempt, String checkpoint) {
        return new TaskEvent(kind, task, attempt, null, null, checkpoint);
    }
}
