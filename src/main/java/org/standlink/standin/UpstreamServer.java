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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.HttpPendingArrivals;
import org.standlink.process.HttpService;

/**
 * An upstream that answers each request with the content of that request, after a service time.
 *
 * <p>It counts how often each numbered request was run, and how many requests ran concurrently.
 *
 * <p>{@code UpstreamServer} is thread-safe.
 */
public final class UpstreamServer implements AutoCloseable {

    /** The header with the number of a request. */
    public static final String REQUEST_NUMBER_HEADER = "Request-Number";

    /** The header that overrides the service time of a request, in milliseconds. */
    public static final String SERVICE_TIME_HEADER = "Service-Millis";

    /** The path that serves the counts. */
    public static final String COUNTS_PATH = "/stand-in/counts";

    private final HttpServer server;

    /** The service time, in milliseconds. */
    private final long serviceMillis;

    /** The number of runs of each numbered request. */
    private final Map<String, AtomicInteger> runCounts = new ConcurrentHashMap<>();

    private final AtomicInteger running = new AtomicInteger();

    /** The maximum number of requests that ran concurrently. */
    private final AtomicInteger maxRunning = new AtomicInteger();

    /** Determines when the callers have moved to other upstreams. */
    private final ConnectionDrain drain = new ConnectionDrain(MonotonicClock.ofSystem());

    /** Determines whether requests have arrived that have not been read yet. */
    private final HttpPendingArrivals pendingArrivals;

    /**
     * Creates an upstream and starts to listen.
     *
     * @param address the address to listen on
     * @param executor runs the server and the request handlers
     * @param serviceMillis the service time, in milliseconds
     */
    public UpstreamServer(InetSocketAddress address, Executor executor, long serviceMillis) {
        this.serviceMillis = serviceMillis;
        server = HttpService.newServer(address, executor);
        pendingArrivals = HttpPendingArrivals.monitor(server, executor);
        HttpService.serve(server, "/", 500, drain, pendingArrivals, this::run);
        server.createContext(COUNTS_PATH, this::serveCounts);
        server.start();
    }

    /**
     * Gets the port of the server.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    /**
     * Gets the maximum number of requests that ran concurrently.
     *
     * @return the number of requests
     */
    public int getMaxRunning() {
        return maxRunning.get();
    }

    /**
     * Gets how often a numbered request was run.
     *
     * @param number the number of the request
     * @return the number of runs
     */
    public int getRunCount(String number) {
        AtomicInteger count = runCounts.get(number);
        return count == null ? 0 : count.get();
    }

    /**
     * Shuts the server down gracefully: callers are asked to close their connections, and requests
     * are answered until no more arrive. An upstream is announced as leaving before a planned stop,
     * so that callers find another one.
     *
     * @param maxMillis the maximum duration, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain(long maxMillis) throws InterruptedException {
        drain.leave();
        drain.awaitDrained(maxMillis, TimeUnit.MILLISECONDS::sleep, pendingArrivals, () -> {});
        close();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void run(HttpExchange exchange) throws IOException {
        int runningNow = running.incrementAndGet();
        maxRunning.accumulateAndGet(runningNow, Math::max);
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String number = exchange.getRequestHeaders().getFirst(REQUEST_NUMBER_HEADER);
            if (number != null) {
                runCounts.computeIfAbsent(number, key -> new AtomicInteger()).incrementAndGet();
            }
            String requestedMillis = exchange.getRequestHeaders().getFirst(SERVICE_TIME_HEADER);
            TimeUnit.MILLISECONDS.sleep(
                    requestedMillis == null ? serviceMillis : Long.parseLong(requestedMillis));
            String requestLine =
                    exchange.getRequestMethod() + " " + exchange.getRequestURI() + "\n";
            if (drain.closeIfLeaving(exchange.getRemoteAddress())) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            write(exchange, requestLine, body);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
        }
    }

    private static void write(HttpExchange exchange, String prefix, byte[] body)
            throws IOException {
        byte[] head = prefix.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, head.length + (long) body.length);
        exchange.getResponseBody().write(head);
        exchange.getResponseBody().write(body);
    }

    private void serveCounts(HttpExchange exchange) throws IOException {
        long ranTwice = runCounts.values().stream().filter(count -> count.get() > 1).count();
        String text =
                "{\"requests\":"
                        + runCounts.size()
                        + ",\"ranTwice\":"
                        + ranTwice
                        + ",\"mostRunning\":"
                        + maxRunning.get()
                        + "}";
        try (exchange) {
            write(exchange, text, new byte[0]);
        }
    }
}
