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
 * Makes the answers to forwarded requests that did not come from the upstream.
 *
 * <p>{@code AnswerFactory} is thread-safe and immutable.
 */
final class AnswerFactory {

    /** No body. */
    private static final byte[] EMPTY = {};

    /** No instances. */
    private AnswerFactory() {}

    /**
     * Makes the answer of a request that did not run and never will under its id.
     *
     * @param reason why
     * @param retryAfterMillis when to come back, in milliseconds
     * @param outstanding requests running or queued at the agent
     * @return the answer
     */
    static ForwardAnswer notRun(String reason, long retryAfterMillis, int outstanding) {
        return new ForwardAnswer(
                Outcome.NOT_RUN, 0, Map.of(), EMPTY, reason, retryAfterMillis, outstanding);
    }

    /**
     * Makes the answer of a request of which it is not known whether it ran.
     *
     * @param reason why
     * @param outstanding requests running or queued at the agent
     * @return the answer
     */
    static ForwardAnswer unknown(String reason, int outstanding) {
        return new ForwardAnswer(Outcome.UNKNOWN, 0, Map.of(), EMPTY, reason, 0, outstanding);
    }
}
