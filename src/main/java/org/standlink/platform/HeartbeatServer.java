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

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.process.EventLog;
import org.standlink.process.HttpService;
import org.standlink.runner.WorkerListener;

/**
 * Takes the heartbeats of the worker on this machine.
 *
 * <p>{@code HeartbeatServer} is thread-safe.
 */
public final class HeartbeatServer implements AutoCloseable {

    /** The start of the path, before the life of the worker. */
    private static final String PATH = "/v1/instances/";

    /** The log. */
    private static final EventLog LOG = EventLog.of(HeartbeatServer.class);

    /** The server. */
    private final HttpServer server;

    /** What is told. */
    private final WorkerListener listener;

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen
     * @param executor where threads come from
     * @param listener what is told
     */
    public HeartbeatServer(InetSocketAddress address, Executor executor, WorkerListener listener) {
        this.listener = listener;
        server = HttpService.newServer(address, executor);
        server.createContext(PATH, this::handle);
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(statusOf(exchange, body), -1);
        }
    }

    private int statusOf(HttpExchange exchange, byte[] body) {
        try {
            String last = exchange.getRequestURI().getPath().substring(PATH.length());
            WorkerId id = WorkerId.parse(last);
            switch (exchange.getRequestMethod()) {
                case "PUT" -> takeHeartbeat(id, Json.read(body));
                case "DELETE" -> listener.left(id);
                default -> {
                    return 405;
                }
            }
            return 200;
        } catch (StandlinkException malformed) {
            LOG.warning("heartbeat-refused").with("cause", malformed.getMessage()).write();
            return 400;
        }
    }

    private void takeHeartbeat(WorkerId id, JsonNode body) {
        JsonNode room = body.path("capacity");
        List<String> labels = new ArrayList<>();
        body.path("labels").forEach(label -> labels.add(label.asText()));
        WorkerDescription worker =
                new WorkerDescription(
                        id,
                        body.path("service").asText(),
                        body.path("address").asText(),
                        Decoding.resources(room),
                        labels,
                        body.path("state").asText().equals("draining"),
                        body.path("remaining_ms").asLong());
        listener.heartbeat(worker, body.path("seq").asLong());
    }

    /** Parts that several messages share. */
    static final class Decoding {

        /** No instances. */
        private Decoding() {}

        /**
         * Reads an amount of processors, memory and accelerators.
         *
         * @param node the object; what it leaves out is 0
         * @return the amount
         */
        static Resources resources(JsonNode node) {
            return new Resources(
                    node.path("cpu").asLong(),
                    node.path("mem_mb").asLong(),
                    node.path("gpu").asLong());
        }
    }
}
