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
 * A small HTTP server with a handler for each exact path, based on the JDK's server.
 *
 * <p>{@code HttpService} is thread-safe.
 */
public final class HttpService implements AutoCloseable {

    /** Holds the data binding, created when first used, since a start need not wait for it. */
    private static final class DataBinding {

        private static final ObjectMapper MAPPER = new ObjectMapper();
    }

    /** Handles the requests of one path. */
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
     * @param query the raw query, empty if there is none
     * @param body the body
     */
    public record Request(String query, byte[] body) {

        /**
         * Gets a parameter of the query, not decoded.
         *
         * @param name the name
         * @param defaultValue the value if the parameter is missing
         * @return the value
         */
        public String getParameter(String name, String defaultValue) {
            for (String part : query.split("&")) {
                if (part.startsWith(name + "=")) {
                    return part.substring(name.length() + 1);
                }
            }
            return defaultValue;
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
         * Creates an answer with a text as its body, followed by a line break.
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
         * Creates an answer with a value serialised as JSON.
         *
         * @param status the HTTP status
         * @param value the value
         * @return the answer
         */
        public static Answer ofJson(int status, Object value) {
            try {
                return new Answer(
                        status, "application/json", DataBinding.MAPPER.writeValueAsBytes(value));
            } catch (JsonProcessingException e) {
                throw new StandlinkException(
                        ErrorCode.INTERNAL, "answer could not be encoded", "report a defect", e);
            }
        }
    }

    private final HttpServer server;

    /** The handlers by method and path. */
    private final Map<String, Handler> handlers = new ConcurrentHashMap<>();

    /**
     * Creates a service and starts to listen.
     *
     * @param address the address to listen on
     * @param executor runs the handlers
     * @throws StandlinkException with code PEER_UNREACHABLE if the address cannot be bound
     */
    public HttpService(InetSocketAddress address, Executor executor) {
        server = newServer(address, executor);
        serve(server, "/", 500, this::handle);
        server.start();
    }

    /**
     * Creates a server of the JDK that has not been started.
     *
     * @param address the address to listen on
     * @param executor runs the handlers
     * @return the server
     * @throws StandlinkException with code PEER_UNREACHABLE if the address cannot be bound
     */
    public static HttpServer newServer(InetSocketAddress address, Executor executor) {
        try {
            HttpServer created = HttpServer.create(address, 0);
            created.setExecutor(executor);
            return created;
        } catch (IOException e) {
            throw new StandlinkException(
                    ErrorCode.PEER_UNREACHABLE,
                    "cannot listen on " + address,
                    "free the address or change it in the settings",
                    e);
        }
    }

    /**
     * Handles all paths with a prefix. Each request is answered, also if its handler fails.
     *
     * @param server the server
     * @param path the prefix of the paths
     * @param failedStatus the HTTP status of the answer if the handler fails; it must be correct
     *     whatever the handler had done by then
     * @param handler the handler, which need not close the exchange
     */
    public static void serve(
            HttpServer server, String path, int failedStatus, HttpHandler handler) {
        server.createContext(path, exchange -> handle(exchange, failedStatus, handler));
    }

    /**
     * Handles all paths with a prefix as {@link #serve(HttpServer, String, int, HttpHandler)} does,
     * and tracks requests in progress up to the last byte of their answers.
     *
     * @param server the server
     * @param path the prefix of the paths
     * @param failedStatus the HTTP status of the answer if the handler fails
     * @param drain tracks the requests in progress for a planned stop
     * @param arrivals answers the probes of this process
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
     * Adds the handler of a path.
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
     * Gets the port that the server listens on.
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
        boolean empty = answer.body().length == 0;
        exchange.sendResponseHeaders(answer.status(), empty ? -1 : answer.body().length);
        if (!empty) {
            exchange.getResponseBody().write(answer.body());
        }
    }

    private static Answer answer(Handler handler, Request request) throws IOException {
        try {
            return handler.handle(request);
        } catch (StandlinkException e) {
            Map<String, Object> body = Map.of("code", e.getCode(), "reason", e.getMessage());
            return Answer.ofJson(statusOf(e.getCode()), body);
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
