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
package org.standlink.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Closes the connections of calls whose timeout has passed, which ends the calls also while they
 * wait for a peer that neither reads nor answers.
 *
 * <p>One thread of the executor waits for the earliest end of a timeout. Most calls end in time and
 * do not wake it up. It ends when it finds no calls.
 *
 * <p>{@code CallTimeouts} is thread-safe.
 */
final class CallTimeouts implements Runnable {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Executor executor;

    /** The connections of the calls in progress; guarded by this. */
    private final List<HttpConnection> connections = new ArrayList<>();

    /** When the thread checks the connections next, by {@link System#nanoTime}; guarded by this. */
    private long nextCheckNanos;

    /** Whether a thread checks the connections; guarded by this. */
    private boolean running;

    /**
     * Creates an instance without calls.
     *
     * @param executor runs the thread that checks the connections
     */
    CallTimeouts(Executor executor) {
        this.executor = executor;
    }

    /**
     * Adds the connection of a call.
     *
     * @param connection the connection, with the end of the timeout set
     */
    synchronized void add(HttpConnection connection) {
        if (!running) {
            nextCheckNanos = connection.getTimeoutNanos();
            executor.execute(this);
            running = true;
        } else if (connection.getTimeoutNanos() - nextCheckNanos < 0) {
            nextCheckNanos = connection.getTimeoutNanos();
            notifyAll();
        }
        connections.add(connection);
    }

    /**
     * Removes the connection of a call that has ended. It is not closed afterwards.
     *
     * @param connection the connection
     */
    synchronized void remove(HttpConnection connection) {
        connections.remove(connection);
    }

    @Override
    public synchronized void run() {
        try {
            while (!connections.isEmpty()) {
                awaitNextCheck();
                closeOverdue();
            }
        } catch (InterruptedException stopped) {
            // The executor has been shut down, which interrupts and so ends the calls as well.
            Thread.currentThread().interrupt();
        } finally {
            running = false;
        }
    }

    private void awaitNextCheck() throws InterruptedException {
        for (long nanos = nextCheckNanos - System.nanoTime();
                nanos > 0;
                nanos = nextCheckNanos - System.nanoTime()) {
            wait(nanos / NANOS_PER_MILLI + 1);
        }
    }

    private void closeOverdue() {
        long now = System.nanoTime();
        long earliest = Long.MAX_VALUE;
        for (HttpConnection connection : connections) {
            long remaining = connection.getTimeoutNanos() - now;
            if (remaining <= 0) {
                connection.closeOverdue();
            } else {
                earliest = Math.min(earliest, remaining);
            }
        }
        connections.removeIf(HttpConnection::isOverdue);
        nextCheckNanos = now + earliest;
    }
}
