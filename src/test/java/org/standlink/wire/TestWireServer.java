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
 * Tests that a server that is about to close waits for connections that are not yet accepted.
 *
 * <p>Guards against the reset of a connection whose request has not been read. On a machine with a
 * load average of 14, the operating system had established the connection of an entry, but the
 * accepting thread of a leaving agent had not run yet. The agent took a server without accepted
 * connections for one without peers, and ended 20 ms after it had been asked to.
 */
public class TestWireServer {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long BLOCKED_MILLIS = 200;

    /** Holds submitted tasks until a test runs them. */
    private static final class ManualExecutor extends AbstractExecutorService {

        private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

        @Override
        public void execute(Runnable command) {
            tasks.add(command);
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

    private static void awaitPendingAccepts(WireServer server) {
        try {
            server.awaitPendingAccepts(TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void waitsForConnectionsThatAreNotYetAccepted() throws Exception {
        ManualExecutor executor = new ManualExecutor();
        try (WireServer server =
                        new WireServer(
                                new InetSocketAddress("127.0.0.1", 0),
                                executor,
                                new Hello(VmId.parse("vm-1"), Incarnation.of(1)),
                                (connection, call, message) -> {});
                Socket peer = new Socket("127.0.0.1", server.getPort())) {
            Thread waiting = new Thread(() -> awaitPendingAccepts(server));
            waiting.start();
            waiting.join(BLOCKED_MILLIS);
            assertTrue(waiting.isAlive(), "nothing has been accepted yet");
            assertTrue(server.hasNoConnections());
            Thread accepting = new Thread(executor.tasks.take());
            accepting.setDaemon(true);
            accepting.start();
            waiting.join(TIMEOUT_MILLIS);
            assertFalse(waiting.isAlive());
            assertFalse(server.hasNoConnections(), "the peer is known, " + peer);
        }
    }
}
