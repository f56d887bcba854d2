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
package org.standlink.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.standlink.lease.MonotonicClock;

/**
 * Drains the connections of a server that is leaving, so that it ends without interrupting a
 * request.
 *
 * <p>While the server leaves, each answer asks the caller to close its connection. The server is
 * drained once the load balancer has had time to send new connections elsewhere, no request is in
 * progress, none has arrived for a while, and every recently used connection has been asked to
 * close.
 *
 * <p>{@code ConnectionDrain} is thread-safe.
 */
public final class ConnectionDrain {

    /**
     * How long new connections may still arrive, in milliseconds: the platform's load balancer
     * checks once a second and acts on the second failed check, with a short delay.
     */
    static final long BALANCER_DELAY_MILLIS = 2500;

    /** How long no request must have arrived, in milliseconds; exceeds the network latency. */
    static final long IDLE_MILLIS = 500;

    /**
     * How long an unused connection counts as open, in milliseconds: callers that are idle for
     * longer open a new connection.
     */
    static final long CONNECTION_IDLE_MILLIS = 5000;

    /**
     * The part of the grace period that is reserved for requests in progress, in milliseconds: the
     * longest answer that is waited for, plus a margin.
     */
    static final long ANSWER_RESERVE_MILLIS = 1500;

    /** The part of the grace period that is reserved for the exit, in milliseconds. */
    static final long EXIT_RESERVE_MILLIS = 200;

    /** The timeout for reading requests that have arrived, in milliseconds. */
    static final long ARRIVAL_TIMEOUT_MILLIS = 1000;

    /** The interval between two checks whether the server is drained, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** Suspends the current thread. */
    @FunctionalInterface
    public interface Sleeper {

        /**
         * Sleeps.
         *
         * @param millis the duration, in milliseconds
         * @throws InterruptedException if the thread is interrupted
         */
        void sleep(long millis) throws InterruptedException;
    }

    /** The maximum number of tracked connections: the file descriptors of the largest machine. */
    private static final int MAX_CONNECTIONS = 8192;

    private final MonotonicClock clock;

    /** The last use of each connection that has not been asked to close; guarded by this. */
    private final Map<Object, Long> lastUses = new HashMap<>();

    /** The connections with a request in progress; guarded by this. */
    private final Set<Object> busyConnections = new HashSet<>();

    /** When a request last arrived or was answered; guarded by this. */
    private long lastActivityMillis;

    /** When the server started to leave, negative if it is not leaving; guarded by this. */
    private long leavingSinceMillis = -1;

    /**
     * Creates a drain of a server that is not leaving.
     *
     * @param clock the clock
     */
    public ConnectionDrain(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Starts to leave; later calls have no effect. */
    public synchronized void leave() {
        if (leavingSinceMillis < 0) {
            leavingSinceMillis = clock.nowMillis();
        }
    }

    /**
     * Records that a request has arrived.
     *
     * @param connection identifies the connection, such as the caller's address
     */
    public synchronized void requestReceived(Object connection) {
        busyConnections.add(connection);
        lastActivityMillis = clock.nowMillis();
    }

    /**
     * Decides whether an answer must ask the caller to close the connection. If so, the connection
     * is no longer waited for; otherwise its use is recorded.
     *
     * @param connection identifies the connection
     * @return true if the server is leaving
     */
    public synchronized boolean closeIfLeaving(Object connection) {
        boolean leaving = leavingSinceMillis >= 0;
        if (leaving) {
            lastUses.remove(connection);
        } else {
            recordUse(connection);
        }
        return leaving;
    }

    /**
     * Records that a request has been answered.
     *
     * @param connection identifies the connection
     */
    public synchronized void requestAnswered(Object connection) {
        busyConnections.remove(connection);
        lastActivityMillis = clock.nowMillis();
    }

    /**
     * Gets the number of connections with a request in progress.
     *
     * @return the number
     */
    public synchronized int getInProgress() {
        return busyConnections.size();
    }

    /**
     * Checks whether the server may end.
     *
     * @return true if the server is leaving and no request can be interrupted
     */
    public synchronized boolean isDrained() {
        long now = clock.nowMillis();
        return leavingSinceMillis >= 0
                && now - leavingSinceMillis >= BALANCER_DELAY_MILLIS
                && now - lastActivityMillis >= IDLE_MILLIS
                && busyConnections.isEmpty()
                && lastUses.values().stream()
                        .allMatch(lastUse -> now - lastUse >= CONNECTION_IDLE_MILLIS);
    }

    /**
     * Waits until the server may end: until it is drained, or the grace period is nearly over and
     * no request is in progress. The caller must end the process at once.
     *
     * @param graceMillis the grace period, in milliseconds
     * @param sleeper suspends the thread between two checks
     * @param arrivals the requests that have reached the server
     * @param drainedAction is run before the last check; work that it starts may continue for the
     *     interval before that check
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitDrained(
            long graceMillis, Sleeper sleeper, PendingArrivals arrivals, Runnable drainedAction)
            throws InterruptedException {
        long start = clock.nowMillis();
        long drainDeadline = start + graceMillis - ANSWER_RESERVE_MILLIS;
        boolean allRead = false;
        while (clock.nowMillis() < drainDeadline && !(allRead && isDrained())) {
            sleeper.sleep(POLL_INTERVAL_MILLIS);
            if (isDrained()) {
                arrivals.await(ARRIVAL_TIMEOUT_MILLIS);
                allRead = arrivals.getPendingCount() == 0;
            }
        }
        drainedAction.run();
        do {
            sleeper.sleep(POLL_INTERVAL_MILLIS);
        } while (getInProgress() + arrivals.getPendingCount() > 0
                && clock.nowMillis() - start < graceMillis - EXIT_RESERVE_MILLIS);
    }

    private void recordUse(Object connection) {
        long now = clock.nowMillis();
        if (lastUses.size() >= MAX_CONNECTIONS) {
            lastUses.values().removeIf(lastUse -> now - lastUse >= CONNECTION_IDLE_MILLIS);
        }
        lastUses.put(connection, now);
    }
}
