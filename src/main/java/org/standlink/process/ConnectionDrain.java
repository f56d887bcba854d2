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
 * Tells when a server that is leaving has told all of its callers, so that it may end without
 * cutting a request.
 *
 * <p>While the server leaves, each answer asks for the connection to be closed. It is quiet once
 * the balancer has had time to send new connections elsewhere, nothing is in progress, nothing has
 * come for a while, and every connection used lately has been told.
 *
 * <p>{@code ConnectionDrain} is thread-safe.
 */
public final class ConnectionDrain {

    /**
     * How long new connections may still come, in milliseconds: the platform's balancer asks once a
     * second and acts on the second miss, which takes a little time itself.
     */
    static final long BALANCER_DELAY_MILLIS = 2500;

    /** How long nothing must have come, in milliseconds; longer than a request's way here. */
    static final long IDLE_MILLIS = 500;

    /**
     * How long an unused connection counts as open, in milliseconds: callers that pause longer open
     * another one.
     */
    static final long CONNECTION_IDLE_MILLIS = 5000;

    /**
     * What is left of the grace for what is in progress, in milliseconds: the longest answer that
     * is waited for, with some to spare.
     */
    static final long ANSWER_RESERVE_MILLIS = 1500;

    /** What is left of the grace for the process to end, in milliseconds. */
    static final long EXIT_RESERVE_MILLIS = 200;

    /** How long requests that have arrived may take to be read, in milliseconds. */
    static final long ARRIVAL_TIMEOUT_MILLIS = 1000;

    /** The time between two looks at whether callers are quiet, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /** Lets time pass. */
    @FunctionalInterface
    public interface Sleeper {

        /**
         * Lets time pass.
         *
         * @param millis how long, in milliseconds
         * @throws InterruptedException if the thread is interrupted
         */
        void sleep(long millis) throws InterruptedException;
    }

    /** The most connections remembered; the descriptors of the largest machine. */
    private static final int MOST_CONNECTIONS = 8192;

    /** The clock. */
    private final MonotonicClock clock;

    /** When each connection that has not been told was used last; guarded by this. */
    private final Map<Object, Long> untold = new HashMap<>();

    /** The connections with a request in progress; guarded by this. */
    private final Set<Object> busy = new HashSet<>();

    /** When a request began or ended last; guarded by this. */
    private long lastUse;

    /** When the server began to leave, negative while it stays; guarded by this. */
    private long leftAt = -1;

    /**
     * Constructor.
     *
     * @param clock the clock
     */
    public ConnectionDrain(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Begins to leave. */
    public synchronized void leave() {
        if (leftAt < 0) {
            leftAt = clock.nowMillis();
        }
    }

    /**
     * Notes that a request has arrived.
     *
     * @param connection identifies the connection, such as the caller's address
     */
    public synchronized void requestReceived(Object connection) {
        busy.add(connection);
        lastUse = clock.nowMillis();
    }

    /**
     * Decides whether the answer must ask for the connection to be closed.
     *
     * @param connection identifies the connection
     * @return true if the server is leaving
     */
    public synchronized boolean closeIfLeaving(Object connection) {
        boolean leaving = leftAt >= 0;
        if (leaving) {
            untold.remove(connection);
        } else {
            remember(connection);
        }
        return leaving;
    }

    /**
     * Notes that a request has been answered.
     *
     * @param connection identifies the connection
     */
    public synchronized void requestAnswered(Object connection) {
        busy.remove(connection);
        lastUse = clock.nowMillis();
    }

    /**
     * Gets how many requests are in progress.
     *
     * @return the number
     */
    public synchronized int getInProgress() {
        return busy.size();
    }

    /**
     * Checks whether the server may end.
     *
     * @return true if no caller can be cut
     */
    public synchronized boolean isDrained() {
        long now = clock.nowMillis();
        return leftAt >= 0
                && now - leftAt >= BALANCER_DELAY_MILLIS
                && now - lastUse >= IDLE_MILLIS
                && busy.isEmpty()
                && untold.values().stream().allMatch(used -> now - used >= CONNECTION_IDLE_MILLIS);
    }

    /**
     * Waits until the server may end: until it is quiet, or the grace is nearly over and nothing is
     * in progress. The caller must end the process at once.
     *
     * @param graceMillis how long the whole may take, in milliseconds
     * @param pause lets time pass
     * @param arrivals tells which requests have reached the server
     * @param whenQuiet is told before the last look; what it starts may go on during a short pause
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitDrained(
            long graceMillis, Sleeper pause, PendingArrivals arrivals, Runnable whenQuiet)
            throws InterruptedException {
        long start = clock.nowMillis();
        long quietUntil = start + graceMillis - ANSWER_RESERVE_MILLIS;
        boolean allRead = false;
        while (clock.nowMillis() < quietUntil && !(allRead && isDrained())) {
            pause.sleep(LOOK_MILLIS);
            if (isDrained()) {
                arrivals.await(ARRIVAL_TIMEOUT_MILLIS);
                allRead = arrivals.getPending() == 0;
            }
        }
        whenQuiet.run();
        do {
            pause.sleep(LOOK_MILLIS);
        } while (getInProgress() + arrivals.getPending() > 0
                && clock.nowMillis() - start < graceMillis - EXIT_RESERVE_MILLIS);
    }

    private void remember(Object connection) {
        long now = clock.nowMillis();
        if (untold.size() >= MOST_CONNECTIONS) {
            untold.values().removeIf(used -> now - used >= CONNECTION_IDLE_MILLIS);
        }
        untold.put(connection, now);
    }
}
