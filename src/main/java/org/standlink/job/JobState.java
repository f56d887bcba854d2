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

/** The state of a submitted job, as reported to callers. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks have completed successfully. */
    COMPLETED,
    /** A task has failed permanently. */
    FAILED,
    /** A caller has cancelled the job. */
    CANCELLED;

    /**
     * Checks whether the state is final.
     *
     * @return true if no more task of the job is to be run
     */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
