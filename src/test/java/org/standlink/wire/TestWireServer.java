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

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.standlink.Incarnation;
import org.standlink.VmId;

/**
 * Tests that a server that is about to close knows of the connections that wait to be accepted.
 *
 * <p>Seen: beside a load of 14, a leaving agent ended 20 ms after it had been asked to, and reset
 * the connection of an entry whose request it had not read. How it came about: the system had made
 * the connection, and the thread that accepts had not run yet. Cause: a server without accepted
 * connections was taken for one without peers.
 */
public class TestWireServer {

    private static final long LONG_MILLIS = 20_000;
    private static final long SHORT_MILLIS = 200;

    /** Holds what it is given until a test runs it. */
    private static final class HeldWork extends AbstractExecutorService {

        private final BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();

        @Override
        public void execute(Runnable command) {
            held.add(command);
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return true;
        }
    }

    private static void await(WireServer server) {
        try {
            server.awaitPendingAccepts(LONG_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void waitsForConnectionsThatAreNotYetAccepted() throws Exception {
        HeldWork work = new HeldWork();
        try (WireServer server =
                        new WireServer(
                                new InetSocketAddress("127.0.0.1", 0),
                                work,
                                new Hello(VmId.parse("vm-1"), Incarnation.of(1)),
                                (connection, call, message) -> {});
                Socket peer = new Socket("127.0.0.1", server.getPort())) {
            Thread waiting = new Thread(() -> await(server));
            waiting.start();
            waiting.join(SHORT_MILLIS);
            assertTrue(waiting.isAlive(), "nothing has been accepted yet");
            assertTrue(server.hasNoConnections());
            Thread accepting = new Thread(work.held.take());
            accepting.setDaemon(true);
            accepting.start();
            waiting.join(LONG_MILLIS);
            assertFalse(waiting.isAlive());
            assertFalse(server.hasNoConnections(), "the peer is known, " + peer);
        }
    }
}
