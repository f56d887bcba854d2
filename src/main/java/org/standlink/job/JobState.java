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
package org.standlink.job;

/** What a submitted job's callers are told. */
public enum JobState {
    /** No task has begun. */
    QUEUED,
    /** A task has begun. */
    RUNNING,
    /** All tasks have ended well. */
    COMPLETED,
    /** A task has failed as often as it may. */
    FAILED,
    /** A caller cancelled it. */
    CANCELLED;

    /**
     * Checks whether nothing more is to be done for the job.
     *
     * @return true if so
     */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
