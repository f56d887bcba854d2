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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerId;
import org.standlink.process.EventLog;
import org.standlink.process.HttpService;
import org.standlink.process.RequestBody;
import org.standlink.runner.WorkerListener;

/**
 * Receives the heartbeats of the worker on this machine.
 *
 * <p>{@code HeartbeatServer} is thread-safe.
 */
public final class HeartbeatServer implements AutoCloseable {

    /** The prefix of the path; the id of the worker follows. */
    private static final String PATH_PREFIX = "/v1/instances/";

    /**
     * The maximum length of a heartbeat, in bytes: a few kilobytes of labels and ample headroom.
     */
    private static final int MAX_BODY_BYTES = 65_536;

    /** The HTTP status for a heartbeat that is too long. */
    private static final int TOO_LARGE = 413;

    /** The minimum time between two log lines on refused heartbeats, in nanoseconds. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The maximum length of a worker's id in such a line, in characters. */
    private static final int MAX_LOGGED_ID_LENGTH = 80;

    private static final EventLog LOG = EventLog.of(HeartbeatServer.class);

    private final HttpServer server;
    private final WorkerListener listener;

    /** The number of refused heartbeats; guarded by this. */
    private long refusedCount;

    /** When a refused heartbeat was last logged, by {@link System#nanoTime}; guarded by this. */
    private long lastLoggedNanos;

    /**
     * Creates a server and starts to listen.
     *
     * @param address the address to listen on
     * @param executor runs the request handlers
     * @param listener notified of each heartbeat and departure
     */
    public HeartbeatServer(InetSocketAddress address, Executor executor, WorkerListener listener) {
        this.listener = listener;
        server = HttpService.newServer(address, executor);
        HttpService.serve(server, PATH_PREFIX, 500, this::handle);
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        Optional<byte[]> body = RequestBody.read(exchange, MAX_BODY_BYTES);
        int status = body.isEmpty() ? TOO_LARGE : statusOf(exchange, body.get());
        exchange.sendResponseHeaders(status, -1);
    }

    private int statusOf(HttpExchange exchange, byte[] body) {
        String idText = exchange.getRequestURI().getPath().substring(PATH_PREFIX.length());
        try {
            WorkerId id = WorkerId.parse(idText);
            switch (exchange.getRequestMethod()) {
                case "PUT" -> {
                    HeartbeatFormat.Heartbeat heartbeat = HeartbeatFormat.decode(id, body);
                    listener.heartbeatReceived(heartbeat.worker(), heartbeat.sequence());
                }
                case "DELETE" -> listener.workerLeft(id);
                default -> {
                    return 405;
                }
            }
            return 200;
        } catch (StandlinkException malformed) {
            logRefused(idText, malformed);
            return 400;
        }
    }

    /** Logs a refused heartbeat, at most one line per second for all senders together. */
    private synchronized void logRefused(String worker, StandlinkException cause) {
        refusedCount++;
        long now = System.nanoTime();
        if (refusedCount == 1 || now - lastLoggedNanos >= LOG_INTERVAL_NANOS) {
            lastLoggedNanos = now;
            LOG.warning("heartbeat-refused")
                    .with(
                            "worker",
                            worker.substring(0, Math.min(worker.length(), MAX_LOGGED_ID_LENGTH)))
                    .with("cause", cause.getMessage())
                    .with("refused-so-far", refusedCount)
                    .write();
        }
    }
}
