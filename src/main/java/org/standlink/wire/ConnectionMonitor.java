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
 * Closes a connection that has become unresponsive, so that its callers can retry over a new one.
 *
 * <p>A connection may stop delivering data without being reset. The time limit of a single call
 * cannot detect that, because a call may take long on a working connection. While calls are pending
 * and nothing has been received for {@value #IDLE_MILLIS} ms, the monitor therefore sends a {@link
 * KeepAlive}, which the peer answers without executing the pending calls. If nothing is received
 * within {@value #KEEP_ALIVE_TIMEOUT_MILLIS} ms, the connection is closed.
 *
 * <p>{@code ConnectionMonitor} is thread-safe.
 */
final class ConnectionMonitor {

    /**
     * How long nothing may be received while calls are pending before a keep-alive is sent, in
     * milliseconds. Nearly all calls are answered within a tenth of this time.
     */
    static final long IDLE_MILLIS = 250;

    /**
     * How long to wait for the answer to a keep-alive, in milliseconds. A network link takes at
     * most 20 ms, a machine slowed down sixfold about 100 ms.
     */
    static final long KEEP_ALIVE_TIMEOUT_MILLIS = 500;

    /** The name under which failures of the monitor are recorded. */
    private static final String WORK_NAME = "connection-watch";

    private final Connection connection;

    /** Whether a check is scheduled or in progress. */
    private final AtomicBoolean running = new AtomicBoolean();

    ConnectionMonitor(Connection connection) {
        this.connection = connection;
    }

    /** Monitors the connection for as long as calls are pending. */
    void start() {
        if (running.compareAndSet(false, true)) {
            scheduleCheck();
        }
    }

    // -----------------------------------------------------------------------
    private void scheduleCheck() {
        Guarded.schedule(IDLE_MILLIS, Guarded.work(WORK_NAME, this::check, this::stopAndClose));
    }

    /**
     * Closes the connection after an unexpected failure. Without the monitor, pending calls on an
     * unresponsive connection would wait for their own time limits.
     */
    private void stopAndClose() {
        running.set(false);
        connection.close();
    }

    private void check() {
        if (connection.isClosed() || !connection.hasPendingCalls()) {
            running.set(false);
            if (connection.hasPendingCalls()) {
                // A call was added between the two checks.
                start();
            }
            return;
        }
        if (connection.getMillisSinceReceived() < IDLE_MILLIS) {
            scheduleCheck();
            return;
        }
        Guarded.onCompletion(
                WORK_NAME,
                connection.call(new KeepAlive(), KEEP_ALIVE_TIMEOUT_MILLIS),
                (answer, failure) ->
                        Guarded.work(
                                        WORK_NAME,
                                        () -> keepAliveCompleted(failure),
                                        this::stopAndClose)
                                .run());
    }

    private void keepAliveCompleted(Throwable failure) {
        if (failure instanceof TimeoutException
                && connection.getMillisSinceReceived() >= KEEP_ALIVE_TIMEOUT_MILLIS) {
            connection.close();
        }
        scheduleCheck();
    }
}
