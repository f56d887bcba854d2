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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tracks the requests that have reached the JDK's HTTP server and are not answered yet.
 *
 * <p>One thread of that server accepts connections and reads requests. The operating system
 * establishes connections before that thread accepts them, and resets them when the server closes.
 * A probe, a request of this process to itself, is read after all requests that arrived before it.
 *
 * <p>{@code HttpPendingArrivals} is thread-safe.
 */
public final class HttpPendingArrivals implements PendingArrivals {

    private static final byte[] PROBE =
            "GET / HTTP/1.1\r\nHost: self\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * The number of probes sent, one after the other. The server's thread hands over requests that
     * it finds at the same time in any order, so the first probe may overtake other requests.
     */
    private static final int PROBE_COUNT = 2;

    private static final int NO_CONTENT = 204;

    private static final EventLog LOG = EventLog.of(HttpPendingArrivals.class);

    private final HttpServer server;

    /** The number of requests that were handed over to the executor and are not completed. */
    private final AtomicInteger pending = new AtomicInteger();

    /** The local ports of the connections that probes are sent over. */
    private final Set<Integer> probePorts = ConcurrentHashMap.newKeySet();

    private HttpPendingArrivals(HttpServer server) {
        this.server = server;
    }

    /**
     * Monitors a server that has not been started, and sets its executor.
     *
     * @param server the server
     * @param executor runs its handlers
     * @return the monitor of its pending requests
     */
    public static HttpPendingArrivals monitor(HttpServer server, Executor executor) {
        HttpPendingArrivals arrivals = new HttpPendingArrivals(server);
        server.setExecutor(task -> arrivals.handOver(task, executor));
        return arrivals;
    }

    // -----------------------------------------------------------------------
    /**
     * Answers a request if it is a probe.
     *
     * @param exchange the request
     * @return false if it is not a probe
     * @throws IOException if the answer cannot be sent
     */
    boolean answerProbe(HttpExchange exchange) throws IOException {
        InetSocketAddress source = exchange.getRemoteAddress();
        boolean probe =
                probePorts.contains(source.getPort())
                        && source.getAddress().equals(exchange.getLocalAddress().getAddress());
        if (probe) {
            exchange.sendResponseHeaders(NO_CONTENT, -1);
            exchange.close();
        }
        return probe;
    }

    @Override
    public void await(long timeoutMillis) throws InterruptedException {
        int stepMillis = (int) Math.max(1, timeoutMillis / (1 + PROBE_COUNT));
        try (Socket probe = new Socket()) {
            probe.bind(null);
            probePorts.add(probe.getLocalPort());
            probe.connect(server.getAddress(), stepMillis);
            probe.setSoTimeout(stepMillis);
            BufferedReader answers =
                    new BufferedReader(
                            new InputStreamReader(
                                    probe.getInputStream(), StandardCharsets.US_ASCII));
            for (int sent = 0; sent < PROBE_COUNT; sent++) {
                probe.getOutputStream().write(PROBE);
                skipAnswer(answers);
            }
            probePorts.remove(probe.getLocalPort());
        } catch (IOException e) {
            // The probe may still be read, so its port stays registered.
            LOG.info("pending-arrivals-unknown").with("cause", e).write();
        }
    }

    @Override
    public int getPendingCount() {
        return pending.get();
    }

    // -----------------------------------------------------------------------
    private void handOver(Runnable task, Executor executor) {
        pending.incrementAndGet();
        boolean accepted = false;
        try {
            executor.execute(() -> run(task));
            accepted = true;
        } finally {
            if (!accepted) {
                pending.decrementAndGet();
            }
        }
    }

    private void run(Runnable task) {
        try {
            task.run();
        } finally {
            pending.decrementAndGet();
        }
    }

    /** Skips up to and including the empty line that ends an answer without a body. */
    private static void skipAnswer(BufferedReader answers) throws IOException {
        String line = answers.readLine();
        while (line != null && !line.isEmpty()) {
            line = answers.readLine();
        }
    }
}
