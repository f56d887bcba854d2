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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * A small HTTP server for exact paths, on the JDK's server.
 *
 * <p>{@code HttpService} is thread-safe.
 */
public final class HttpService implements AutoCloseable {

    /** The serializer. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Handles requests to one path. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request.
         *
         * @param request the request
         * @return the answer
         * @throws IOException if the body cannot be read
         */
        Answer handle(Request request) throws IOException;
    }

    /**
     * A request.
     *
     * @param query the query, empty if none
     * @param body the body
     */
    public record Request(String query, byte[] body) {

        /**
         * Gets a parameter of the query.
         *
         * @param name the name
         * @param otherwise the value if it is not there
         * @return the value
         */
        public String getParameter(String name, String otherwise) {
            for (String part : query.split("&")) {
                if (part.startsWith(name + "=")) {
                    return part.substring(name.length() + 1);
                }
            }
            return otherwise;
        }
    }

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param contentType the type of the body
     * @param body the body
     */
    public record Answer(int status, String contentType, byte[] body) {

        /**
         * Makes an answer of a text.
         *
         * @param status the HTTP status
         * @param text the text
         * @return the answer
         */
        public static Answer ofText(int status, String text) {
            byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
            return new Answer(status, "text/plain; charset=utf-8", body);
        }

        /**
         * Makes an answer of a value, written as JSON.
         *
         * @param status the HTTP status
         * @param value the value
         * @return the answer
         */
        public static Answer ofJson(int status, Object value) {
            try {
                return new Answer(status, "application/json", MAPPER.writeValueAsBytes(value));
            } catch (JsonProcessingException impossible) {
                throw new StandlinkException(
                        ErrorCode.INTERNAL, "answer not encoded", "report a defect", impossible);
            }
        }
    }

    /** The server. */
    private final HttpServer server;

    /** The handlers by method and path. */
    private final Map<String, Handler> handlers = new ConcurrentHashMap<>();

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @throws StandlinkException with code PEER_UNREACHABLE if the address cannot be taken
     */
    public HttpService(InetSocketAddress address, Executor executor) {
        server = newServer(address, executor);
        serve(server, "/", 500, this::handle);
        server.start();
    }

    /**
     * Makes a server of the JDK that has not been started.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @return the server
     * @throws StandlinkException with code PEER_UNREACHABLE if the address cannot be taken
     */
    public static HttpServer newServer(InetSocketAddress address, Executor executor) {
        try {
            HttpServer made = HttpServer.create(address, 0);
            made.setExecutor(executor);
            return made;
        } catch (IOException taken) {
            throw new StandlinkException(
                    ErrorCode.PEER_UNREACHABLE,
                    "cannot listen on " + address,
                    "free the address or change it in the settings",
                    taken);
        }
    }

    /**
     * Handles all paths with a beginning; each request is answered, also if its handling fails.
     *
     * @param server the server
     * @param path the beginning of the paths
     * @param failedStatus the HTTP status of the answer if the handling fails; it must be true
     *     whatever was done by then
     * @param handler the handler, which need not close the exchange
     */
    public static void serve(
            HttpServer server, String path, int failedStatus, HttpHandler handler) {
        server.createContext(path, exchange -> handle(exchange, failedStatus, handler));
    }

    /**
     * Handles all paths with a beginning as {@link #serve(HttpServer, String, int, HttpHandler)}
     * does, and notes when requests are in progress, up to the last byte of their answers.
     *
     * @param server the server
     * @param path the beginning of the paths
     * @param failedStatus the HTTP status of the answer if the handling fails
     * @param drain tells when a planned stop cuts nobody
     * @param arrivals tells which requests have reached the server
     * @param handler the handler, which need not close the exchange
     */
    public static void serve(
            HttpServer server,
            String path,
            int failedStatus,
            ConnectionDrain drain,
            HttpPendingArrivals arrivals,
            HttpHandler handler) {
        server.createContext(
                path,
                exchange -> {
                    if (arrivals.answerProbe(exchange)) {
                        return;
                    }
                    Object connection = exchange.getRemoteAddress();
                    drain.requestReceived(connection);
                    try {
                        handle(exchange, failedStatus, handler);
                    } finally {
                        drain.requestAnswered(connection);
                    }
                });
    }

    private static void handle(HttpExchange exchange, int failedStatus, HttpHandler handler)
            throws IOException {
        try {
            handler.handle(exchange);
        } catch (RuntimeException | Error thrown) {
            WorkFailures.record("request", thrown);
            if (exchange.getResponseCode() < 0) {
                exchange.sendResponseHeaders(failedStatus, -1);
            }
        } finally {
            exchange.close();
        }
    }

    /**
     * Handles a path.
     *
     * @param method the HTTP method
     * @param path the exact path
     * @param handler the handler
     * @return this service
     */
    public HttpService addHandler(String method, String path, Handler handler) {
        handlers.put(method + " " + path, handler);
        return this;
    }

    /**
     * Gets the port listened on.
     *
     * @return the port
     */
    public int getPort() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String query = exchange.getRequestURI().getRawQuery();
        byte[] body = exchange.getRequestBody().readAllBytes();
        Handler handler = handlers.get(exchange.getRequestMethod() + " " + path);
        Answer answer =
                handler == null
                        ? Answer.ofText(404, "nothing at " + path)
                        : answer(handler, new Request(query == null ? "" : query, body));
        exchange.getResponseHeaders().set("Content-Type", answer.contentType());
        boolean none = answer.body().length == 0;
        exchange.sendResponseHeaders(answer.status(), none ? -1 : answer.body().length);
        if (!none) {
            exchange.getResponseBody().write(answer.body());
        }
    }

    private static Answer answer(Handler handler, Request request) throws IOException {
        try {
            return handler.handle(request);
        } catch (StandlinkException refused) {
            Map<String, Object> body =
                    Map.of("code", refused.getCode(), "reason", refused.getMessage());
            return Answer.ofJson(statusOf(refused.getCode()), body);
        }
    }

    private static int statusOf(ErrorCode code) {
        return switch (code) {
            case INVALID_BUNDLE, INVALID_SIGNATURE, INVALID_IDENTIFIER -> 400;
            case PLATFORM_UNAVAILABLE, PEER_UNREACHABLE -> 503;
            case PLATFORM_OUTCOME_UNKNOWN, CONNECTION_LOST, TIMEOUT -> 504;
            case INTERNAL -> 500;
            default -> 409;
        };
    }
}
