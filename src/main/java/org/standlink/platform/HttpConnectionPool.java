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

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a client: lends the idle ones, opens new ones and applies the timeouts.
 *
 * <p>{@code HttpConnectionPool} is thread-safe.
 */
final class HttpConnectionPool {

    /**
     * The maximum number of idle connections; more than the number of concurrent calls of a leader,
     * which sends an append again every 100 ms for 1 s.
     */
    static final int MAX_IDLE_CONNECTIONS = 16;

    /** How long a connection may be idle, in seconds; the JDK's server closes it after 30 s. */
    static final long MAX_IDLE_SECONDS = 30;

    private final CallTimeouts timeouts;

    /** The idle connections, the last used one last; guarded by this. */
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();

    /** The number of times that all connections were discarded; guarded by this. */
    private int generation;

    /**
     * Creates a pool without connections.
     *
     * @param timeouts closes the connections of calls that take too long
     */
    HttpConnectionPool(CallTimeouts timeouts) {
        this.timeouts = timeouts;
    }

    /**
     * Takes the last used idle connection to an address that the peer has not closed.
     *
     * @param address the host and port
     * @param timeout the timeout of the call
     * @return the connection, null if there is none
     */
    HttpConnection takeIdle(String address, CallTimeout timeout) {
        HttpConnection connection = findIdle(address);
        if (connection != null) {
            connection.setTimeout(timeout);
            applyTimeout(connection);
        }
        return connection;
    }

    /**
     * Opens a connection.
     *
     * @param address the host and port
     * @param timeout the timeout of the call
     * @return the connection
     * @throws java.net.ConnectException if no connection could be opened in time
     */
    HttpConnection open(String address, CallTimeout timeout) throws IOException {
        HttpConnection connection = new HttpConnection(address, getGeneration(), timeout);
        connection.connect();
        applyTimeout(connection);
        return connection;
    }

    /**
     * Returns a connection after a call.
     *
     * @param connection the connection
     * @param reusable whether the connection may be used for another call
     */
    void release(HttpConnection connection, boolean reusable) {
        timeouts.remove(connection);
        if (!reusable || connection.isOverdue() || !addIdle(connection)) {
            connection.close();
        }
    }

    /**
     * Discards all connections that are now open, unless this has happened since the given one was
     * opened. Those that are in use are closed after their calls.
     *
     * @param overdue a connection on which a call was not answered in time
     */
    synchronized void discardAll(HttpConnection overdue) {
        if (overdue.getGeneration() != generation) {
            return;
        }
        generation++;
        for (HttpConnection connection : idle) {
            connection.close();
        }
        idle.clear();
    }

    // -----------------------------------------------------------------------
    private synchronized int getGeneration() {
        return generation;
    }

    private void applyTimeout(HttpConnection connection) {
        try {
            timeouts.add(connection);
        } catch (RuntimeException | Error failure) {
            connection.close();
            throw failure;
        }
    }

    private synchronized HttpConnection findIdle(String address) {
        long now = System.nanoTime();
        Iterator<HttpConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            HttpConnection connection = lastUsedFirst.next();
            if (connection.getAddress().equals(address)) {
                lastUsedFirst.remove();
                if (!isExpired(connection, now) && connection.isUsable()) {
                    return connection;
                }
                connection.close();
            }
        }
        return null;
    }

    private synchronized boolean addIdle(HttpConnection connection) {
        if (connection.getGeneration() != generation) {
            return false;
        }
        long now = System.nanoTime();
        while (!idle.isEmpty() && isSuperfluous(idle.getFirst(), now)) {
            idle.removeFirst().close();
        }
        connection.setIdleSinceNanos(now);
        idle.addLast(connection);
        return true;
    }

    private boolean isSuperfluous(HttpConnection connection, long now) {
        return idle.size() >= MAX_IDLE_CONNECTIONS || isExpired(connection, now);
    }

    private static boolean isExpired(HttpConnection connection, long now) {
        return now - connection.getIdleSinceNanos() > TimeUnit.SECONDS.toNanos(MAX_IDLE_SECONDS);
    }
}
