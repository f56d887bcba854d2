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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;

/** Tests when a leaving server may end. */
public class TestConnectionDrain {

    /** A server that hands over each request at once. */
    private static final PendingArrivals NONE_PENDING =
            new PendingArrivals() {
                @Override
                public void await(long timeoutMillis) {}

                @Override
                public int getPendingCount() {
                    return 0;
                }
            };

    private final FakeClock clock = new FakeClock();

    private final ConnectionDrain drain = new ConnectionDrain(clock);

    @Test
    public void waitsForConnectionsFromTheBalancer() {
        drain.leave();
        clock.advance(ConnectionDrain.BALANCER_DELAY_MILLIS - 1);
        assertFalse(drain.isDrained());
        clock.advance(1);
        assertTrue(drain.isDrained());
    }

    @Test
    public void waitsForAnOpenConnectionThatWasNotAskedToClose() {
        serve("one");
        clock.advance(
                ConnectionDrain.CONNECTION_IDLE_MILLIS - ConnectionDrain.BALANCER_DELAY_MILLIS - 1);
        drain.leave();
        clock.advance(ConnectionDrain.BALANCER_DELAY_MILLIS);
        assertFalse(drain.isDrained());
        assertTrue(serve("one"));
        assertFalse(drain.isDrained());
        clock.advance(ConnectionDrain.IDLE_MILLIS);
        assertTrue(drain.isDrained());
    }

    @Test
    public void waitsForARequestInProgress() {
        drain.leave();
        drain.requestReceived("one");
        clock.advance(ConnectionDrain.BALANCER_DELAY_MILLIS);
        assertFalse(drain.isDrained());
        drain.closeIfLeaving("one");
        drain.requestAnswered("one");
        assertFalse(drain.isDrained());
        clock.advance(ConnectionDrain.IDLE_MILLIS);
        assertTrue(drain.isDrained());
    }

    @Test
    public void ignoresAnIdleConnection() {
        serve("one");
        drain.leave();
        clock.advance(ConnectionDrain.CONNECTION_IDLE_MILLIS);
        assertTrue(drain.isDrained());
    }

    @Test
    public void answersARequestThatArrivesAtTheLastMoment() throws InterruptedException {
        drain.leave();
        boolean[] answered = new boolean[1];
        long[] sleeps = new long[1];
        drain.awaitDrained(
                6000,
                millis -> {
                    clock.advance(millis);
                    sleeps[0]++;
                    if (drain.getInProgress() > 0 && sleeps[0] % 10 == 0) {
                        answered[0] = true;
                        drain.requestAnswered("late");
                    }
                },
                NONE_PENDING,
                () -> drain.requestReceived("late"));
        assertTrue(answered[0]);
    }

    /**
     * A server whose own thread was delayed considered itself idle and interrupted requests that
     * had arrived but were not read.
     */
    @Test
    public void waitsForAnUnreadRequest() throws InterruptedException {
        drain.leave();
        boolean[] read = new boolean[1];
        PendingArrivals unread =
                new PendingArrivals() {
                    @Override
                    public void await(long timeoutMillis) {
                        if (!read[0]) {
                            read[0] = true;
                            serve("late");
                        }
                    }

                    @Override
                    public int getPendingCount() {
                        return 0;
                    }
                };
        drain.awaitDrained(6000, clock::advance, unread, () -> {});
        assertTrue(read[0]);
        assertTrue(drain.isDrained(), "drained after the last request");
    }

    @Test
    public void waitsForRequestsQueuedForAHandler() throws InterruptedException {
        drain.leave();
        int[] pending = {40};
        PendingArrivals queued =
                new PendingArrivals() {
                    @Override
                    public void await(long timeoutMillis) {}

                    @Override
                    public int getPendingCount() {
                        return pending[0] = Math.max(0, pending[0] - 1);
                    }
                };
        drain.awaitDrained(60_000, clock::advance, queued, () -> {});
        assertEquals(0, pending[0]);
    }

    @Test
    public void endsWithinTheGracePeriodDespiteAStuckRequest() throws InterruptedException {
        drain.leave();
        drain.requestReceived("stuck");
        long start = clock.nowMillis();
        drain.awaitDrained(6000, clock::advance, NONE_PENDING, () -> {});
        long elapsedMillis = clock.nowMillis() - start;
        assertTrue(
                elapsedMillis >= 6000 - ConnectionDrain.EXIT_RESERVE_MILLIS && elapsedMillis < 6000,
                "took " + elapsedMillis);
    }

    private boolean serve(String connection) {
        drain.requestReceived(connection);
        boolean closing = drain.closeIfLeaving(connection);
        drain.requestAnswered(connection);
        return closing;
    }
}
