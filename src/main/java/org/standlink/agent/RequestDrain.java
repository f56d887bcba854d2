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
 * Tells when a leaving agent may end without cutting a request: nothing is to be answered, and
 * nobody may still come to ask what became of a request whose connection was lost.
 *
 * <p>{@code RequestDrain} is thread-safe.
 */
final class RequestDrain {

    /** How many requests and questions have not been answered, up to the write of the answer. */
    private int unanswered;

    /** Until when the callers of a connection's requests wait at most, in milliseconds. */
    private final Map<Connection, Long> waitUntil = new HashMap<>();

    /**
     * Takes note of a request or a question.
     *
     * @param connection where it came from
     * @param untilMillis when its caller stops waiting, in milliseconds
     */
    synchronized void requestReceived(Connection connection, long untilMillis) {
        unanswered++;
        waitUntil.merge(connection, untilMillis, Math::max);
    }

    /** Takes note that an answer has been written, or could not be. */
    synchronized void requestAnswered() {
        unanswered--;
    }

    /**
     * Checks whether nobody waits.
     *
     * @param nowMillis the time, in milliseconds
     * @return true if all is answered and nobody may ask again
     */
    synchronized boolean isDrained(long nowMillis) {
        waitUntil.values().removeIf(until -> until <= nowMillis);
        return unanswered == 0 && waitUntil.keySet().stream().noneMatch(Connection::isClosed);
    }
}
