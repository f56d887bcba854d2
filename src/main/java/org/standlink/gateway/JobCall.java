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
 * A request of a caller to a queue.
 *
 * <p>{@code JobCall} is thread-safe and immutable.
 *
 * @param kind the kind of request, null if the HTTP method does not fit the path
 * @param job the job, null for a request about the whole queue
 * @param definition the job to submit, null for other kinds
 * @param waitMillis how long the caller waits for the answer, in milliseconds
 */
public record JobCall(Kind kind, JobId job, JobDefinition definition, long waitMillis) {

    /** The kinds of requests. */
    public enum Kind {
        /** Submit a job. */
        SUBMIT,
        /** Get the state of a job. */
        STATE,
        /** Cancel a job. */
        CANCEL,
        /** Get the number of jobs of the queue that have not started. */
        COUNT
    }

    /**
     * Checks whether the request has no effect, so that it may be repeated.
     *
     * @return true if the request only reads
     */
    public boolean isReadOnly() {
        return kind == Kind.STATE || kind == Kind.COUNT;
    }
}
