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

import org.standlink.job.JobState;
import org.standlink.wire.JobAnswer;

/**
 * The answer to a request of a caller.
 *
 * <p>{@code JobReply} is thread-safe and immutable.
 *
 * @param status the HTTP status
 * @param state the state of the job, null if not included
 * @param waiting the number of jobs of the queue that have not started, negative if not included
 * @param reason why the request failed, empty if it did not
 * @param retryAfterSeconds after how long to retry, in seconds; 0 if not included
 */
public record JobReply(
        int status, JobState state, long waiting, String reason, long retryAfterSeconds) {

    /**
     * After how long to retry a refused request if the leader gives no time, in seconds: the
     * minimum that the header permits.
     */
    private static final long RETRY_AFTER_SECONDS = 1;

    /**
     * Creates an answer with a reason.
     *
     * @param status the HTTP status
     * @param reason why the request failed
     * @return the answer
     */
    public static JobReply of(int status, String reason) {
        return new JobReply(status, null, -1, reason, 0);
    }

    /**
     * Creates the answer that follows from the leader's.
     *
     * @param call the request
     * @param answer the leader's answer
     * @return the answer
     */
    static JobReply of(JobCall call, JobAnswer answer) {
        return switch (answer.result()) {
            case DONE -> {
                long waiting = call.kind() == JobCall.Kind.COUNT ? answer.waiting() : -1;
                yield new JobReply(200, answer.state(), waiting, "", 0);
            }
            case NO_SUCH_JOB -> of(410, "there is no such job");
            case NOT_DONE -> ofNotRun(answer.reason(), answer.retryAfterSeconds());
            case UNKNOWN, FAILED -> of(504, answer.reason());
        };
    }

    /**
     * Creates an answer to a request that was certainly not executed.
     *
     * @param reason why the request was not executed
     * @return the answer
     */
    public static JobReply ofNotRun(String reason) {
        return ofNotRun(reason, RETRY_AFTER_SECONDS);
    }

    private static JobReply ofNotRun(String reason, long retryAfterSeconds) {
        return new JobReply(
                503, null, -1, reason, Math.max(RETRY_AFTER_SECONDS, retryAfterSeconds));
    }
}
