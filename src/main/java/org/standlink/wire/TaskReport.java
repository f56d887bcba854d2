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
 * What an agent says about one task that was assigned to it.
 *
 * <p>It is written as an array, so new parts may only be added at its end.
 *
 * <p>{@code TaskReport} is thread-safe and immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param state where the attempt stands
 * @param checkpoint the last checkpoint, null if none
 * @param usage the measured usage, null if none yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskReport(
        TaskId task, Attempt attempt, State state, String checkpoint, Resources usage) {

    /** Where an attempt stands at its agent. */
    public enum State {
        /** Held back until there is room. */
        QUEUED,
        /** Running on the worker. */
        RUNNING,
        /** Done. */
        FINISHED,
        /** Ended without being done; may be tried again. */
        FAILED,
        /** Stopped on request, at the checkpoint given. */
        STOPPED
    }
}
