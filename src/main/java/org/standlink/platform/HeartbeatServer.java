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
 * Takes the heartbeats of the worker on this machine.
 *
 * <p>{@code HeartbeatServer} is thread-safe.
 */
public final class HeartbeatServer implements AutoCloseable {

    /** The start of the path, before the id of the worker. */
    private static final String PATH = "/v1/instances/";

    /** The longest heartbeat taken, in bytes: some kilobytes of labels, and a lot to spare. */
    private static final int MOST_BYTES = 65_536;

    /** The status of a longer one. */
    private static final int TOO_LARGE = 413;

    /** The time between two lines on refused heartbeats, in nanoseconds. */
    private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How much of a worker's name such a line holds. */
    private static final int MOST_TOLD = 80;

    /** The log. */
    private static final EventLog LOG = EventLog.of(HeartbeatServer.class);

    /** The server. */
    private final HttpServer server;

    /** What is told. */
    private final WorkerListener listener;

    /** How many heartbeats were refused; guarded by this. */
    private long refused;

    /** When that was told last, by {@link System#nanoTime}; guarded by this. */
    private long toldNanos;

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
        HttpService.serve(server, PATH, 500, this::handle);
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        Optional<byte[]> body = RequestBody.read(exchange, MOST_BYTES);
        int status = body.isEmpty() ? TOO_LARGE : statusOf(exchange, body.get());
        exchange.sendResponseHeaders(status, -1);
    }

    private int statusOf(HttpExchange exchange, byte[] body) {
        String last = exchange.getRequestURI().getPath().substring(PATH.length());
        try {
            WorkerId id = WorkerId.parse(last);
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
            tellRefused(last, malformed);
            return 400;
        }
    }

    /** Writes a line a second at most, whoever sends such heartbeats. */
    private synchronized void tellRefused(String worker, StandlinkException cause) {
        refused++;
        long now = System.nanoTime();
        if (refused == 1 || now - toldNanos >= TELL_NANOS) {
            toldNanos = now;
            LOG.warning("heartbeat-refused")
                    .with("worker", worker.substring(0, Math.min(worker.length(), MOST_TOLD)))
                    .with("cause", cause.getMessage())
                    .with("refused-so-far", refused)
                    .write();
        }
    }
}
