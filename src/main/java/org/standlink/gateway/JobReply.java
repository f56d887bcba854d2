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
 * The answer to a caller.
 *
 * <p>{@code JobReply} is thread-safe and immutable.
 *
 * @param status the HTTP status
 * @param state the state of the job, null if none is told
 * @param waiting how many jobs of the queue have not begun, negative if not told
 * @param reason why, empty if all is well
 * @param retryAfterSeconds when to come back, in seconds; 0 if not told
 */
public record JobReply(
        int status, JobState state, long waiting, String reason, long retryAfterSeconds) {

    /** When to come back after a refusal, in seconds; the header knows no less. */
    private static final long RETRY_SECONDS = 1;

    /**
     * Makes an answer with a reason.
     *
     * @param status the HTTP status
     * @param reason why
     * @return the answer
     */
    public static JobReply of(int status, String reason) {
        return new JobReply(status, null, -1, reason, 0);
    }

    /**
     * Makes the answer that follows from the leader's.
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
            case NOT_DONE -> ofNotRun(answer.reason());
            case UNKNOWN, FAILED -> of(504, answer.reason());
        };
    }

    /**
     * Makes an answer that the request surely was not carried out.
     *
     * @param reason why
     * @return the answer
     */
    public static JobReply ofNotRun(String reason) {
        return new JobReply(503, null, -1, reason, RETRY_SECONDS);
    }
}
