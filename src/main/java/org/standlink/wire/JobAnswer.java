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

import org.standlink.job.JobState;

/**
 * The answer of the leader to a request about a job or a queue.
 *
 * <p>{@code JobAnswer} is thread-safe and immutable.
 *
 * @param result the result of the request
 * @param state the state of the job, null if there is none
 * @param waiting how many jobs of the queue have not started
 * @param reason why the request was refused or failed, otherwise empty
 * @param retryAfterSeconds after how long a refused request should be sent again, in seconds; 0 if
 *     not given, as in answers of older programs
 */
public record JobAnswer(
        Result result, JobState state, long waiting, String reason, long retryAfterSeconds)
        implements Message {

    /** The result of a request. */
    public enum Result {
        /** The request was carried out, and its changes are persisted. */
        DONE,
        /** There is no such job. */
        NO_SUCH_JOB,
        /** The leader has not carried out the request and will not. */
        NOT_DONE,
        /** The request may have been carried out. */
        UNKNOWN,
        /**
         * The leader failed while it handled the request. The request may have been carried out,
         * and the next leader may fail as well.
         */
        FAILED
    }

    /**
     * Creates the answer to a request that was carried out.
     *
     * @param state the state of the job
     * @return the answer
     */
    public static JobAnswer ofDone(JobState state) {
        return new JobAnswer(Result.DONE, state, 0, "", 0);
    }

    /**
     * Creates an answer without a job state.
     *
     * @param result the result of the request
     * @param reason the reason of the result
     * @return the answer
     */
    public static JobAnswer of(Result result, String reason) {
        return new JobAnswer(result, null, 0, reason, 0);
    }

    /**
     * Creates the answer to a request that was not carried out and may be sent again later.
     *
     * @param reason why it was refused
     * @param retryAfterSeconds after how long it should be sent again, in seconds
     * @return the answer
     */
    public static JobAnswer ofRefused(String reason, long retryAfterSeconds) {
        return new JobAnswer(Result.NOT_DONE, null, 0, reason, retryAfterSeconds);
    }
}
