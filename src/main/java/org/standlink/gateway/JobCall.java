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
package org.standlink.gateway;

import org.standlink.JobId;
import org.standlink.job.JobDefinition;

/**
 * What a caller asks of a queue.
 *
 * <p>{@code JobCall} is thread-safe and immutable.
 *
 * @param kind what is asked, null if the method does not fit the path
 * @param job the job, null if the queue is meant
 * @param definition the job to be accepted, null if none
 * @param waitMillis how long the caller waits, in milliseconds
 */
public record JobCall(Kind kind, JobId job, JobDefinition definition, long waitMillis) {

    /** What can be asked. */
    public enum Kind {
        /** Accept a job. */
        SUBMIT,
        /** Tell a job's state. */
        STATE,
        /** Cancel a job. */
        CANCEL,
        /** Tell how many jobs of the queue have not begun. */
        COUNT
    }

    /**
     * Checks whether the call only looks, so that it has no effect and may be repeated.
     *
     * @return true if so
     */
    public boolean isReadOnly() {
        return kind == Kind.STATE || kind == Kind.COUNT;
    }
}
