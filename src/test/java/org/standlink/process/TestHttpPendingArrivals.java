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

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.standlink.lease.MonotonicClock;

/** Tests that requests which have arrived but are not read by the server's thread are tracked. */
public class TestHttpPendingArrivals {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 150;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch handOverStarted = new CountDownLatch(1);
    private final CountDownLatch handOverAllowed = new CountDownLatch(1);
    private final CountDownLatch answerAllowed = new CountDownLatch(1);
    private final AtomicInteger handled = new AtomicInteger();
    private final HttpServer server =
            HttpService.newServer(new InetSocketAddress("127.0.0.1", 0), threads);

    /** Starts a server whose own thread may be blocked by the executor while it hands over. */
    private HttpPendingArrivals start(Executor executor) {
        HttpPendingArrivals arrivals = HttpPendingArrivals.monitor(server, executor);
        HttpService.serve(
                server,
                "/",
                500,
                new ConnectionDrain(MonotonicClock.ofSystem()),
                arrivals,
                exchange -> {
                    handled.incrementAndGet();
                    await(answerAllowed);
                    exchange.sendResponseHeaders(200, -1);
                });
        server.start();
        return arrivals;
    }

    @AfterEach
    public void stop() {
        handOverAllowed.countDown();
        answerAllowed.countDown();
        server.stop(0);
        threads.shutdownNow();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket send() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getAddress().getPort());
        socket.getOutputStream().write(REQUEST);
        return socket;
    }

    private Void awaitArrivals(HttpPendingArrivals arrivals) throws InterruptedException {
        arrivals.await(TIMEOUT_MILLIS);
        return null;
    }

    @Test
    public void waitsForRequestsThatAreNotYetRead() throws Exception {
        HttpPendingArrivals arrivals =
                start(
                        task -> {
                            handOverStarted.countDown();
                            await(handOverAllowed);
                            threads.execute(task);
                        });
        try (Socket first = send()) {
            await(handOverStarted);
            try (Socket second = send()) {
                Future<Void> waiting = threads.submit(() -> awaitArrivals(arrivals));
                Thread.onSpinWait();
                assertFalse(waiting.isDone(), "no connection is accepted, " + first + second);
                handOverAllowed.countDown();
                waiting.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertTrue(arrivals.getPendingCount() >= 2, "both are pending");
            }
        }
    }

    @Test
    public void theProbeReachesNoHandler() throws Exception {
        HttpPendingArrivals arrivals = start(threads);
        arrivals.await(TIMEOUT_MILLIS);
        assertEquals(0, handled.get());
    }

    @Test
    public void theWaitForAnUnresponsiveServerIsBounded() throws Exception {
        HttpPendingArrivals arrivals = start(task -> await(handOverAllowed));
        arrivals.await(SHORT_TIMEOUT_MILLIS);
        assertEquals(0, handled.get());
    }
}
