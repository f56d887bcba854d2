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
 * Tells which requests have reached the JDK's HTTP server.
 *
 * <p>One thread of that server accepts connections and reads requests. The system makes connections
 * before that thread has accepted them, and resets them when the server closes. A request of this
 * process to itself is read after all that arrived before it.
 *
 * <p>{@code HttpPendingArrivals} is thread-safe.
 */
public final class HttpPendingArrivals implements PendingArrivals {

    /** The request of this process to itself. */
    private static final byte[] OWN_REQUEST =
            "GET / HTTP/1.1\r\nHost: self\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * How many such requests are sent, one after the other: what the server's thread finds at once
     * it hands over in any order, so that the first may overtake others.
     */
    private static final int OWN_REQUESTS = 2;

    /** The status of their answers, which have no body. */
    private static final int NO_CONTENT = 204;

    /** The log. */
    private static final EventLog LOG = EventLog.of(HttpPendingArrivals.class);

    /** The server. */
    private final HttpServer server;

    /** The requests that have been handed over and are not over. */
    private final AtomicInteger pending = new AtomicInteger();

    /** The local ports of connections of this process to itself. */
    private final Set<Integer> ownPorts = ConcurrentHashMap.newKeySet();

    private HttpPendingArrivals(HttpServer server) {
        this.server = server;
    }

    /**
     * Watches a server that has not been started.
     *
     * @param server the server
     * @param executor where its threads come from
     * @return what tells of its requests
     */
    public static HttpPendingArrivals monitor(HttpServer server, Executor executor) {
        HttpPendingArrivals made = new HttpPendingArrivals(server);
        server.setExecutor(task -> made.handOver(task, executor));
        return made;
    }

    // -----------------------------------------------------------------------
    /**
     * Answers a request of this process to itself.
     *
     * @param exchange the request
     * @return false if it is another one
     * @throws IOException if the answer cannot be sent
     */
    boolean answerProbe(HttpExchange exchange) throws IOException {
        InetSocketAddress from = exchange.getRemoteAddress();
        boolean own =
                ownPorts.contains(from.getPort())
                        && from.getAddress().equals(exchange.getLocalAddress().getAddress());
        if (own) {
            exchange.sendResponseHeaders(NO_CONTENT, -1);
            exchange.close();
        }
        return own;
    }

    @Override
    public void await(long timeoutMillis) throws InterruptedException {
        int stepMillis = (int) Math.max(1, timeoutMillis / (1 + OWN_REQUESTS));
        try (Socket own = new Socket()) {
            own.bind(null);
            ownPorts.add(own.getLocalPort());
            own.connect(server.getAddress(), stepMillis);
            own.setSoTimeout(stepMillis);
            BufferedReader answers =
                    new BufferedReader(
                            new InputStreamReader(own.getInputStream(), StandardCharsets.US_ASCII));
            for (int sent = 0; sent < OWN_REQUESTS; sent++) {
                own.getOutputStream().write(OWN_REQUEST);
                skipAnswer(answers);
            }
            ownPorts.remove(own.getLocalPort());
        } catch (IOException unanswered) {
            // The request may still be read, so its port stays known.
            LOG.info("pending-arrivals-unknown").with("cause", unanswered).write();
        }
    }

    @Override
    public int getPending() {
        return pending.get();
    }

    // -----------------------------------------------------------------------
    private void handOver(Runnable task, Executor executor) {
        pending.incrementAndGet();
        boolean taken = false;
        try {
            executor.execute(() -> run(task));
            taken = true;
        } finally {
            if (!taken) {
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

    /** Reads up to the empty line that ends an answer without a body. */
    private static void skipAnswer(BufferedReader answers) throws IOException {
        String line = answers.readLine();
        while (line != null && !line.isEmpty()) {
            line = answers.readLine();
        }
    }
}
