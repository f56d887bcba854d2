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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.standlink.Attempt;
import org.standlink.Resources;
import org.standlink.TaskId;

/**
 * The state of a task at the agent to which it is assigned.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code TaskReport} is thread-safe and immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param state the state of the attempt
 * @param checkpoint the last checkpoint, null if none
 * @param usage the measured usage, null if none yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskReport(
        TaskId task, Attempt attempt, State state, String checkpoint, Resources usage) {

    /** The state of an attempt at its agent. */
    public enum State {
        /** Waits for free capacity. */
        QUEUED,
        /** Running on the worker. */
        RUNNING,
        /** Finished successfully. */
        FINISHED,
        /** Failed; the task may be attempted again. */
        FAILED,
        /** Stopped on request, with the reported checkpoint. */
        STOPPED
    }
}
