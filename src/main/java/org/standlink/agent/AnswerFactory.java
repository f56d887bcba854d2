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
package org.standlink.agent;

import java.util.Map;
import org.standlink.Outcome;
import org.standlink.wire.ForwardAnswer;

/**
 * Creates answers to forwarded requests on behalf of the agent, without an answer of the upstream.
 *
 * <p>{@code AnswerFactory} is thread-safe and immutable.
 */
final class AnswerFactory {

    private static final byte[] EMPTY = {};

    /** Restricted constructor. */
    private AnswerFactory() {}

    /**
     * Creates the answer to a request that has not run and will never run under its id.
     *
     * @param reason the reason
     * @param retryAfterMillis the delay before a retry, in milliseconds
     * @param outstanding the number of requests running or queued at the agent
     * @return the answer
     */
    static ForwardAnswer notRun(String reason, long retryAfterMillis, int outstanding) {
        return new ForwardAnswer(
                Outcome.NOT_RUN, 0, Map.of(), EMPTY, reason, retryAfterMillis, outstanding);
    }

    /**
     * Creates the answer to a request that may have run or not.
     *
     * @param reason the reason
     * @param outstanding the number of requests running or queued at the agent
     * @return the answer
     */
    static ForwardAnswer unknown(String reason, int outstanding) {
        return new ForwardAnswer(Outcome.UNKNOWN, 0, Map.of(), EMPTY, reason, 0, outstanding);
    }
}
