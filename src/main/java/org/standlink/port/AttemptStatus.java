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
package org.standlink.port;

import org.standlink.Attempt;
import org.standlink.Resources;
import org.standlink.TaskId;

/**
 * The state and the resource usage of an attempt, as reported by its worker.
 *
 * <p>{@code AttemptStatus} is thread-safe and immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param state the state of the attempt
 * @param checkpoint the last checkpoint, null if none
 * @param reserved the resources that were granted at its start
 * @param usage the measured usage, reported with a delay; null if not measured yet
 */
public record AttemptStatus(
        TaskId task,
        Attempt attempt,
        State state,
        String checkpoint,
        Resources reserved,
        Resources usage) {

    /** The state of an attempt at its worker. */
    public enum State {
        /** The attempt is running. */
        RUNNING,
        /** The attempt has completed. */
        FINISHED,
        /** The attempt ended before completion. */
        FAILED,
        /** The attempt was stopped on request or because the lease expired. */
        STOPPED
    }
}
