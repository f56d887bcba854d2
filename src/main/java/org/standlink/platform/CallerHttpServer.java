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
import org.standlink.process.HttpArrivals;
import org.standlink.process.HttpService;
import org.standlink.process.PendingArrivals;
import org.standlink.process.RequestBody;

/**
 * Takes callers' jobs and questions over HTTP.
 *
 * <p>{@code CallerHttpServer} is thread-safe.
 */
public final class CallerHttpServer implements AutoCloseable {

    /** The header that tells how long a caller waits, in milliseconds. */
    private static final String DEADLINE_HEADER = "X-Deadline-Ms";

    /** How long a caller waits that does not say, in milliseconds: a new leader takes 2,000. */
    private static final long DEADLINE_MILLIS = 3000;

    /** The longest body read before there is a configuration, in bytes; what operators allow. */
    private static final int MOST_BODY_BYTES = 256 * 1024;

    /** The server. */
    private final HttpServer server;

    /** What answers. */
    private final JobGateway gateway;

    /** Tells when a planned stop cuts nobody. */
    private final ConnectionDrain drain;

    /** Tells which requests have reached the server. */
    private final HttpArrivals arrivals;

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @param gateway what answers
     * @param drain tells when a planned stop cuts nobody
     */
    public CallerHttpServer(
            InetSocketAddress address,
            Executor executor,
            JobGateway gateway,
            ConnectionDrain drain) {
        this.gateway = gateway;
        this.drain = drain;
        server = HttpService.newServer(address, executor);
        // Whether a job was taken is not known if answering it fails.
        arrivals = HttpArrivals.watch(server, executor);
        HttpService.serve(server, "/", 504, drain, arrivals, this::handle);
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
     * Gets what tells which requests have reached the server.
     *
     * @return the arrivals
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
        int most = gateway.getMaxBodyBytes().orElse(MOST_BODY_BYTES);
        Optional<byte[]> body = RequestBody.read(exchange, most);
        JobReply reply =
                body.isEmpty() ? tooLong(exchange, most) : reply(exchange, body.orElseThrow());
        write(exchange, reply);
    }

    /** What was not read of the body would be taken for the next request. */
    private static JobReply tooLong(HttpExchange exchange, int most) {
        exchange.getResponseHeaders().set("Connection", "close");
        return JobReply.of(413, "the body is longer than " + most + " bytes; send a shorter one");
    }

    private JobReply reply(HttpExchange exchange, byte[] body) {
        String host = exchange.getRequestHeaders().getFirst("Host");
        String path = exchange.getRequestURI().getPath();
        return gateway.answer(
                host,
                path,
                queue -> {
                    String rest = path.substring(queue.pathPrefix().length());
                    return call(exchange, rest, queue.name(), body);
                });
    }

    private static JobCall call(HttpExchange exchange, String rest, String queue, byte[] body) {
        String method = exchange.getRequestMethod();
        long wait = waitMillis(exchange);
        if (rest.isEmpty()) {
            return new JobCall(method.equals("GET") ? JobCall.Kind.COUNT : null, null, null, wait);
        }
        JobId id = JobId.parse(rest);
        return switch (method) {
            case "POST" ->
                    new JobCall(JobCall.Kind.SUBMIT, id, JobFormat.decode(id, queue, body), wait);
            case "GET" -> new JobCall(JobCall.Kind.STATE, id, null, wait);
            case "DELETE" -> new JobCall(JobCall.Kind.CANCEL, id, null, wait);
            default -> new JobCall(null, id, null, wait);
        };
    }

    private static long waitMillis(HttpExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(DEADLINE_HEADER);
        if (header == null) {
            return DEADLINE_MILLIS;
        }
        try {
            return Math.max(1, Long.parseLong(header.trim()));
        } catch (NumberFormatException malformed) {
            throw new StandlinkException(
                    org.standlink.ErrorCode.INVALID_MESSAGE,
                    DEADLINE_HEADER + " '" + header + "' is not a number",
                    "write whole milliseconds, 1 or more");
        }
    }

    private void write(HttpExchange exchange, JobReply reply) throws IOException {
        if (drain.tell(exchange.getRemoteAddress())) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        if (reply.retryAfterSeconds() > 0) {
            String seconds = Long.toString(reply.retryAfterSeconds());
            exchange.getResponseHeaders().set("Retry-After", seconds);
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        byte[] body = Json.write(body(reply));
        exchange.sendResponseHeaders(reply.status(), body.length);
        exchange.getResponseBody().write(body);
    }

    private static ObjectNode body(JobReply reply) {
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
