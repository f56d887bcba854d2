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
 * What a caller is told.
 *
 * <p>{@code RoutedAnswer} is thread-safe and immutable, if its body is not changed.
 *
 * @param outcome what became of the request
 * @param status the HTTP status
 * @param headers the upstream's headers
 * @param body the upstream's body, or the reason
 * @param reason why there is no answer, empty if there is one
 * @param retryAfterMillis when to come back, in milliseconds, 0 for no hint
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

    /** The HTTP status of a request of which it is not known whether it ran. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The HTTP status of a request that no service takes. */
    private static final int NOT_FOUND = 404;

    /** When to come back if nothing better is known, in milliseconds. */
    private static final long DEFAULT_RETRY_MILLIS = 1000;

    /** No body. */
    private static final byte[] EMPTY = {};

    /**
     * Makes the answer of an upstream.
     *
     * @param answer the answer
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
     * Makes the answer to a request that did not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back, in milliseconds, 0 if not known
     * @return the answer for the caller
     */
    static RoutedAnswer ofNotRun(String reason, long retryAfterMillis) {
        long retry = retryAfterMillis == 0 ? DEFAULT_RETRY_MILLIS : retryAfterMillis;
        return new RoutedAnswer(Outcome.NOT_RUN, UNAVAILABLE, Map.of(), EMPTY, reason, retry, null);
    }

    /**
     * Makes the answer to a request of which it is not known whether it ran.
     *
     * @param reason why
     * @return the answer for the caller
     */
    static RoutedAnswer ofUnknown(String reason) {
        return new RoutedAnswer(Outcome.UNKNOWN, GATEWAY_TIMEOUT, Map.of(), EMPTY, reason, 0, null);
    }

    /**
     * Makes the answer to a request that no service or class takes.
     *
     * @param reason why
     * @return the answer for the caller
     */
    static RoutedAnswer ofNoService(String reason) {
        return new RoutedAnswer(Outcome.NOT_RUN, NOT_FOUND, Map.of(), EMPTY, reason, 0, null);
    }
}
