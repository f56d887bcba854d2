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
package org.standlink.entry;

import java.util.Map;
import org.standlink.Outcome;
import org.standlink.VmId;
import org.standlink.wire.ForwardAnswer;

/**
 * The answer to a request of a caller.
 *
 * <p>{@code RoutedAnswer} is thread-safe and immutable if its body is not changed.
 *
 * @param outcome the outcome of the request
 * @param status the HTTP status
 * @param headers the headers of the upstream's answer, empty if there is none
 * @param body the body of the upstream's answer, empty if there is none
 * @param reason why there is no answer of an upstream, empty if there is one
 * @param retryAfterMillis how long to wait before a retry, in milliseconds, 0 if not specified
 * @param upstream the upstream that answered, null if none
 */
public record RoutedAnswer(
        Outcome outcome,
        int status,
        Map<String, String> headers,
        byte[] body,
        String reason,
        long retryAfterMillis,
        VmId upstream) {

    /** The HTTP status of a request that did not run. */
    private static final int UNAVAILABLE = 503;

    /** The HTTP status of a request whose outcome is unknown. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The HTTP status of a request that matches no service. */
    private static final int NOT_FOUND = 404;

    /** The retry time if the agent specified none, in milliseconds. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

    private static final byte[] EMPTY = {};

    /**
     * Creates the answer to a request that an upstream answered.
     *
     * @param answer the upstream's answer
     * @param upstream the upstream
     * @return the answer for the caller
     */
    static RoutedAnswer ofAnswered(ForwardAnswer answer, VmId upstream) {
        return new RoutedAnswer(
                Outcome.ANSWERED,
                answer.status(),
                answer.headers(),
                answer.body(),
                "",
                0,
                upstream);
    }

    /**
     * Creates the answer to a request that did not run.
     *
     * @param reason why the request did not run
     * @param retryAfterMillis how long to wait before a retry, in milliseconds, 0 for the default
     * @return the answer for the caller
     */
    static RoutedAnswer ofNotRun(String reason, long retryAfterMillis) {
        long retry = retryAfterMillis == 0 ? DEFAULT_RETRY_AFTER_MILLIS : retryAfterMillis;
        return new RoutedAnswer(Outcome.NOT_RUN, UNAVAILABLE, Map.of(), EMPTY, reason, retry, null);
    }

    /**
     * Creates the answer to a request whose outcome is unknown.
     *
     * @param reason why the outcome is unknown
     * @return the answer for the caller
     */
    static RoutedAnswer ofUnknown(String reason) {
        return new RoutedAnswer(Outcome.UNKNOWN, GATEWAY_TIMEOUT, Map.of(), EMPTY, reason, 0, null);
    }

    /**
     * Creates the answer to a request that matches no service or request class.
     *
     * @param reason why the request did not run
     * @return the answer for the caller
     */
    static RoutedAnswer ofNoService(String reason) {
        return new RoutedAnswer(Outcome.NOT_RUN, NOT_FOUND, Map.of(), EMPTY, reason, 0, null);
    }
}
