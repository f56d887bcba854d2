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
 * What a worker says about an attempt.
 *
 * <p>{@code AttemptStatus} is thread-safe and immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param state where it stands
 * @param checkpoint the last checkpoint, null if none
 * @param reserved what it was started with
 * @param usage the measured usage, which lags; null if none yet
 */
public record AttemptStatus(
        TaskId task,
        Attempt attempt,
        State state,
        String checkpoint,
        Resources reserved,
        Resources usage) {

    /** Where an attempt stands at its worker. */
    public enum State {
        /** Running. */
        RUNNING,
        /** Done. */
        FINISHED,
        /** Ended without being done. */
        FAILED,
        /** Stopped by request or because the lease lapsed. */
        STOPPED
    }
}
