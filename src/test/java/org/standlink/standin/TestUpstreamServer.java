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
package org.standlink.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Tests the graceful shutdown of the stand-in for an upstream.
 *
 * <p>Guards against requests lost by a planned stop on a busy machine. The server considered itself
 * idle because nothing had been passed to a handler for half a second, although its own thread had
 * not run. It closed its listener, and the operating system reset the connections that had not been
 * accepted, with the requests on them. One request of 2,500 was answered as unknown, as its agent
 * had lost the answer ("header parser received no bytes"). Entries had the same fault.
 */
public class TestUpstreamServer {

    /**
     * The service time, in milliseconds. In total, the requests of a test take longer than the
     * server's former notice period.
     */
    private static final long SERVICE_MILLIS = 60;

    /** How long the server's own thread is blocked, in milliseconds. */
    private static final long BLOCKED_MILLIS = 4000;

    /** The number of requests that are sent while the upstream is leaving. */
    private static final int REQUEST_COUNT = 20;

    @Test
    public void answersRequestsWhileLeaving() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(4);
        UpstreamServer server =
                new UpstreamServer(new InetSocketAddress("127.0.0.1", 0), threads, SERVICE_MILLIS);
        try {
            HttpClient client = HttpClient.newHttpClient();
            assertEquals(200, send(client, server).statusCode());
            Future<?> draining = threads.submit(() -> drain(server));
            for (int i = 0; i < REQUEST_COUNT; i++) {
                assertEquals(200, send(client, server).statusCode());
            }
            draining.get();
            assertTrue(draining.isDone());
        } finally {
            server.close();
            threads.shutdownNow();
        }
    }

    @Test
    public void answersARequestWaitingToBeAcceptedWhileLeaving() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(4);
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        // The first request blocks the server's own thread, which accepts and reads.
        AtomicBoolean blocksNext = new AtomicBoolean(true);
        Executor blockingExecutor =
                task -> {
                    if (blocksNext.getAndSet(false)) {
                        arrived.countDown();
                        awaitWithTimeout(released);
                    }
                    threads.execute(task);
                };
        UpstreamServer server =
                new UpstreamServer(
                        new InetSocketAddress("127.0.0.1", 0), blockingExecutor, SERVICE_MILLIS);
        try (Socket first = connect(server)) {
            arrived.await();
            try (Socket second = connect(server)) {
                Future<?> draining = threads.submit(() -> drain(server));
                assertEquals("HTTP/1.1 200 OK", readStatus(second));
                assertEquals("HTTP/1.1 200 OK", readStatus(first));
                draining.get();
            }
        } finally {
            released.countDown();
            server.close();
            threads.shutdownNow();
        }
    }

    /** Waits longer than a server that considers itself idle keeps listening. */
    private static void awaitWithTimeout(CountDownLatch latch) {
        try {
            latch.await(BLOCKED_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket connect(UpstreamServer server) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getPort());
        String request = "GET / HTTP/1.1\r\nHost: upstream\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String readStatus(Socket socket) throws IOException {
        return new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
    }

    private static Void drain(UpstreamServer server) throws InterruptedException {
        server.drain(60_000);
        return null;
    }

    private static HttpResponse<Void> send(HttpClient client, UpstreamServer server)
            throws Exception {
        URI address = URI.create("http://127.0.0.1:" + server.getPort() + "/");
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding());
    }
}
