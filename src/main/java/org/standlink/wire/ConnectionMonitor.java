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

import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.standlink.process.Guarded;

/**
 * Closes a connection that has gone silent, so that whoever waits on it can go on over a new one.
 *
 * <p>A connection may stop to carry anything without a reset. Each call has its own time limit, but
 * a call that takes long says nothing about the connection that it shares with others. So while
 * calls wait and nothing has been heard, the other side is asked for a sign of life, which it gives
 * without doing the calls. Silence is found within {@value #IDLE_MILLIS} ms and {@value
 * #KEEP_ALIVE_TIMEOUT_MILLIS} ms of a call.
 *
 * <p>{@code ConnectionMonitor} is thread-safe.
 */
final class ConnectionMonitor {

    /**
     * How long nothing may be heard while calls wait before the other side is asked, in
     * milliseconds; nearly all calls are answered within a tenth of it.
     */
    static final long IDLE_MILLIS = 250;

    /**
     * How long the sign of life is waited for, in milliseconds: links take 20 at most, a machine
     * that is slowed sixfold some 100.
     */
    static final long KEEP_ALIVE_TIMEOUT_MILLIS = 500;

    /** The name of the work in the log. */
    private static final String NAME = "connection-watch";

    /** The connection. */
    private final Connection connection;

    /** Whether the connection is being watched. */
    private final AtomicBoolean watching = new AtomicBoolean();

    /**
     * Constructor.
     *
     * @param connection the connection
     */
    ConnectionMonitor(Connection connection) {
        this.connection = connection;
    }

    /** Watches the connection for as long as calls wait. */
    void start() {
        if (watching.compareAndSet(false, true)) {
            lookLater();
        }
    }

    // -----------------------------------------------------------------------
    private void lookLater() {
        Guarded.later(IDLE_MILLIS, Guarded.work(NAME, this::look, this::giveUp));
    }

    /** A connection that is watched no more would be waited for until each call's own limit. */
    private void giveUp() {
        watching.set(false);
        connection.close();
    }

    private void look() {
        if (connection.isClosed() || !connection.hasPendingCalls()) {
            watching.set(false);
            if (connection.hasPendingCalls()) {
                // A call came between the two looks.
                start();
            }
            return;
        }
        if (connection.getMillisSinceReceived() < IDLE_MILLIS) {
            lookLater();
            return;
        }
        Guarded.then(
                NAME,
                connection.call(new KeepAlive(), KEEP_ALIVE_TIMEOUT_MILLIS),
                (answer, failure) -> Guarded.work(NAME, () -> judge(failure), this::giveUp).run());
    }

    private void judge(Throwable failure) {
        if (failure instanceof TimeoutException
                && connection.getMillisSinceReceived() >= KEEP_ALIVE_TIMEOUT_MILLIS) {
            connection.close();
        }
        lookLater();
    }
}
