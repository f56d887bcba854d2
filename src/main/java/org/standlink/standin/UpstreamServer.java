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
 * An upstream that answers each request with what it asked, after a service time.
 *
 * <p>It counts how often each numbered request ran and how many ran at once.
 *
 * <p>{@code UpstreamServer} is thread-safe.
 */
public final class UpstreamServer implements AutoCloseable {

    /** The header by which requests are numbered. */
    public static final String REQUEST_NUMBER_HEADER = "Request-Number";

    /** The header that asks for another service time, in milliseconds. */
    public static final String SERVICE_TIME_HEADER = "Service-Millis";

    /** The path of the counts. */
    public static final String COUNTS_PATH = "/stand-in/counts";

    /** The server. */
    private final HttpServer server;

    /** The service time, in milliseconds. */
    private final long serviceMillis;

    /** How often each numbered request ran. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** Requests running. */
    private final AtomicInteger running = new AtomicInteger();

    /** The most requests that ran at once. */
    private final AtomicInteger mostRunning = new AtomicInteger();

    /** Tells when the callers have gone elsewhere. */
    private final ConnectionDrain drain = new ConnectionDrain(MonotonicClock.ofSystem());

    /** Tells which requests have reached the server. */
    private final HttpPendingArrivals arrivals;

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @param serviceMillis the service time, in milliseconds
     */
    public UpstreamServer(InetSocketAddress address, Executor executor, long serviceMillis) {
        this.serviceMillis = serviceMillis;
        server = HttpService.newServer(address, executor);
        arrivals = HttpPendingArrivals.monitor(server, executor);
        HttpService.serve(server, "/", 500, drain, arrivals, this::run);
        server.createContext(COUNTS_PATH, this::count);
        server.start();
    }

    /**
     * Gets the port listened on.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    /**
     * Gets the most requests that ran at once.
     *
     * @return the number
     */
    public int getMaxRunning() {
        return mostRunning.get();
    }

    /**
     * Gets how often a numbered request ran.
     *
     * @param number the number
     * @return how often
     */
    public int getRunCount(String number) {
        AtomicInteger count = runs.get(number);
        return count == null ? 0 : count.get();
    }

    /**
     * Ends in order: callers are asked to close their connections, and requests are answered until
     * no caller comes any more. An upstream that is stopped as planned has been announced as
     * leaving before, so callers find another one.
     *
     * @param mostMillis how long the whole may take, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain(long mostMillis) throws InterruptedException {
        drain.leave();
        drain.awaitDrained(mostMillis, TimeUnit.MILLISECONDS::sleep, arrivals, () -> {});
        close();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void run(HttpExchange exchange) throws IOException {
        int now = running.incrementAndGet();
        mostRunning.accumulateAndGet(now, Math::max);
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String number = exchange.getRequestHeaders().getFirst(REQUEST_NUMBER_HEADER);
            if (number != null) {
                runs.computeIfAbsent(number, key -> new AtomicInteger()).incrementAndGet();
            }
            String time = exchange.getRequestHeaders().getFirst(SERVICE_TIME_HEADER);
            TimeUnit.MILLISECONDS.sleep(time == null ? serviceMillis : Long.parseLong(time));
            String start = exchange.getRequestMethod() + " " + exchange.getRequestURI() + "\n";
            if (drain.closeIfLeaving(exchange.getRemoteAddress())) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            write(exchange, start, body);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
        }
    }

    private static void write(HttpExchange exchange, String start, byte[] body) throws IOException {
        byte[] head = start.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, head.length + (long) body.length);
        exchange.getResponseBody().write(head);
        exchange.getResponseBody().write(body);
    }

    private void count(HttpExchange exchange) throws IOException {
        long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        String text =
                "{\"requests\":"
                        + runs.size()
                        + ",\"ranTwice\":"
                        + twice
                        + ",\"mostRunning\":"
                        + mostRunning.get()
                        + "}";
        try (exchange) {
            write(exchange, text, new byte[0]);
        }
    }
}
