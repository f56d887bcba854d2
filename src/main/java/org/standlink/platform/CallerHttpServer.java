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
package org.standlink.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.standlink.JobId;
import org.standlink.StandlinkException;
import org.standlink.gateway.JobCall;
import org.standlink.gateway.JobGateway;
import org.standlink.gateway.JobReply;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.HttpPendingArrivals;
import org.standlink.process.HttpService;
import org.standlink.process.PendingArrivals;
import org.standlink.process.RequestBody;

/**
 * Serves callers over HTTP: submits, queries and cancels jobs.
 *
 * <p>{@code CallerHttpServer} is thread-safe.
 */
public final class CallerHttpServer implements AutoCloseable {

    /** The header with the time for which a caller waits, in milliseconds. */
    private static final String DEADLINE_HEADER = "X-Deadline-Ms";

    /**
     * How long a caller that does not send this header waits, in milliseconds; longer than a change
     * of leader, which takes 2,000.
     */
    private static final long DEFAULT_DEADLINE_MILLIS = 3000;

    /**
     * The maximum body length before a configuration is known, in bytes; the limit that operators
     * configure.
     */
    private static final int DEFAULT_MAX_BODY_BYTES = 256 * 1024;

    private final HttpServer server;
    private final JobGateway gateway;
    private final ConnectionDrain drain;

    /** Tracks the requests that have reached the server. */
    private final HttpPendingArrivals arrivals;

    /**
     * Creates a server and starts to listen.
     *
     * @param address the address to listen on
     * @param executor runs the request handlers
     * @param gateway answers the requests
     * @param drain determines when the process can stop without interrupting a request
     */
    public CallerHttpServer(
            InetSocketAddress address,
            Executor executor,
            JobGateway gateway,
            ConnectionDrain drain) {
        this.gateway = gateway;
        this.drain = drain;
        server = HttpService.newServer(address, executor);
        arrivals = HttpPendingArrivals.monitor(server, executor);
        // The status is 504 if a handler fails, as the job may have been accepted nevertheless.
        HttpService.serve(server, "/", 504, drain, arrivals, this::handle);
        server.start();
    }

    /**
     * Gets the port on which the server listens.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    /**
     * Gets the requests that have reached the server but are not yet handled.
     *
     * @return the pending arrivals
     */
    public PendingArrivals getPendingArrivals() {
        return arrivals;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        int maxBytes = gateway.getMaxBodyBytes().orElse(DEFAULT_MAX_BODY_BYTES);
        Optional<byte[]> body = RequestBody.read(exchange, maxBytes);
        JobReply reply =
                body.isEmpty()
                        ? rejectTooLong(exchange, maxBytes)
                        : reply(exchange, body.orElseThrow());
        write(exchange, reply);
    }

    /**
     * Closes the connection, as the unread part of the body would be parsed as the next request.
     */
    private static JobReply rejectTooLong(HttpExchange exchange, int maxBytes) {
        exchange.getResponseHeaders().set("Connection", "close");
        return JobReply.of(
                413, "the body is longer than " + maxBytes + " bytes; send a shorter one");
    }

    private JobReply reply(HttpExchange exchange, byte[] body) {
        String host = exchange.getRequestHeaders().getFirst("Host");
        String path = exchange.getRequestURI().getPath();
        return gateway.answer(
                host,
                path,
                queue -> {
                    String idText = path.substring(queue.pathPrefix().length());
                    return decodeCall(exchange, idText, queue.name(), body);
                });
    }

    private static JobCall decodeCall(
            HttpExchange exchange, String idText, String queue, byte[] body) {
        String method = exchange.getRequestMethod();
        long waitMillis = parseWaitMillis(exchange);
        if (idText.isEmpty()) {
            return new JobCall(
                    method.equals("GET") ? JobCall.Kind.COUNT : null, null, null, waitMillis);
        }
        JobId id = JobId.parse(idText);
        return switch (method) {
            case "POST" ->
                    new JobCall(
                            JobCall.Kind.SUBMIT, id, JobFormat.decode(id, queue, body), waitMillis);
            case "GET" -> new JobCall(JobCall.Kind.STATE, id, null, waitMillis);
            case "DELETE" -> new JobCall(JobCall.Kind.CANCEL, id, null, waitMillis);
            default -> new JobCall(null, id, null, waitMillis);
        };
    }

    private static long parseWaitMillis(HttpExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(DEADLINE_HEADER);
        if (header == null) {
            return DEFAULT_DEADLINE_MILLIS;
        }
        try {
            return Math.max(1, Long.parseLong(header.trim()));
        } catch (NumberFormatException malformed) {
            throw new StandlinkException(
                    org.standlink.ErrorCode.INVALID_MESSAGE,
                    DEADLINE_HEADER + " '" + header + "' is not a whole number",
                    "send whole milliseconds, 1 or more");
        }
    }

    private void write(HttpExchange exchange, JobReply reply) throws IOException {
        if (drain.closeIfLeaving(exchange.getRemoteAddress())) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        if (reply.retryAfterSeconds() > 0) {
            String seconds = Long.toString(reply.retryAfterSeconds());
            exchange.getResponseHeaders().set("Retry-After", seconds);
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        byte[] body = Json.write(encodeBody(reply));
        exchange.sendResponseHeaders(reply.status(), body.length);
        exchange.getResponseBody().write(body);
    }

    private static ObjectNode encodeBody(JobReply reply) {
        ObjectNode body = Json.newObject();
        if (reply.state() != null) {
            body.put("state", reply.state().name().toLowerCase(Locale.ROOT));
        }
        if (reply.waiting() >= 0) {
            body.put("pending", reply.waiting());
        }
        if (!reply.reason().isEmpty()) {
            body.put("error", reply.reason());
        }
        return body;
    }
}
