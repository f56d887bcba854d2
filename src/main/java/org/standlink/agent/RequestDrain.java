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

import java.util.HashMap;
import java.util.Map;
import org.standlink.wire.Connection;

/**
 * Tracks open requests, so that a leaving agent does not stop before all of them are answered and
 * no caller may still query the outcome of a request whose connection was lost.
 *
 * <p>{@code RequestDrain} is thread-safe.
 */
final class RequestDrain {

    /** The number of requests and queries whose answers have not been written yet. */
    private int unanswered;

    /** The latest deadline of the callers on each connection, in milliseconds. */
    private final Map<Connection, Long> callerDeadlines = new HashMap<>();

    /**
     * Records that a request or an outcome query has been received.
     *
     * @param connection the connection
     * @param deadlineMillis when the caller stops waiting, in milliseconds
     */
    synchronized void requestReceived(Connection connection, long deadlineMillis) {
        unanswered++;
        callerDeadlines.merge(connection, deadlineMillis, Math::max);
    }

    /** Records that an answer has been written, or that writing it has failed. */
    synchronized void requestAnswered() {
        unanswered--;
    }

    /**
     * Checks whether there are no open requests.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true if everything is answered and no caller may still query an outcome
     */
    synchronized boolean isDrained(long nowMillis) {
        callerDeadlines.values().removeIf(deadline -> deadline <= nowMillis);
        return unanswered == 0 && callerDeadlines.keySet().stream().noneMatch(Connection::isClosed);
    }
}
