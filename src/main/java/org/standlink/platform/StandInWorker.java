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
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import org.standlink.process.HttpService;

/**
 * A stand-in for a worker of the platform: it starts what it is told, and each run ends well after
 * a while. It checks neither room nor leases and never fails. It can start again under its id, and
 * then knows nothing of before.
 *
 * <p>{@code StandInWorker} is thread-safe.
 */
public final class StandInWorker implements AutoCloseable {

    /** The figure that every run reports, a tail in milliseconds or thousandths of a core. */
    private static final long FIGURE = 20;

    /** The clock, in milliseconds. */
    private final LongSupplier clock;

    /** How long a run works, in milliseconds. */
    private final long workMillis;

    /** The runs and when they began, by task and number; guarded by this. */
    private final Map<Run, Long> running = new LinkedHashMap<>();

    /** The ends, oldest first; guarded by this. */
    private final List<End> ended = new ArrayList<>();

    /** When the present life began, in milliseconds since 1970; guarded by this. */
    private long bornMillis;

    /** The server. */
    private final HttpService server;

    /** A run. */
    private record Run(String task, int number) {}

    /** How a run ended. */
    private record End(Run run, String how) {}

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen; port 0 takes a free port
     * @param threads the threads that answer
     * @param clock the worker's clock, in milliseconds
     * @param workMillis how long a run works, in milliseconds
     */
    public StandInWorker(
            InetSocketAddress address,
            ExecutorService threads,
            LongSupplier clock,
            long workMillis) {
        this.clock = clock;
        this.workMillis = workMillis;
        this.bornMillis = System.currentTimeMillis();
        server =
                new HttpService(address, threads)
                        .on("POST", "/v1/run-start", this::start)
                        .on("POST", "/v1/run-stop", this::stop)
                        .on("POST", "/v1/pace", request -> done())
                        .on("POST", "/v1/hold", this::hold);
    }

    /**
     * Gets the port listened on.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /** Ends the present life with all that runs, and begins another one under the same id. */
    public synchronized void restart() {
        bornMillis = Math.max(bornMillis + 1, System.currentTimeMillis());
        running.clear();
        ended.clear();
    }

    /**
     * Makes the body of a heartbeat of this worker.
     *
     * @param service the service whose tasks it runs
     * @param sequence the number of the heartbeat
     * @return the JSON text
     */
    public synchronized String createHeartbeat(String service, long sequence) {
        ObjectNode body =
                Json.newObject()
                        .put("service", service)
                        .put("address", "127.0.0.1:" + getPort())
                        .put("zone", "zone")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("born", bornMillis)
                        .put("seq", sequence);
        body.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpu", 0);
        body.putArray("labels").add("a");
        return new String(Json.write(body), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.close();
    }

    // -----------------------------------------------------------------------
    private synchronized HttpService.Answer start(HttpService.Request request) {
        running.putIfAbsent(run(request), clock.getAsLong());
        return done();
    }

    private synchronized HttpService.Answer stop(HttpService.Request request) {
        Run run = run(request);
        if (running.remove(run) != null) {
            ended.add(new End(run, "stopped"));
        }
        return done();
    }

    private synchronized HttpService.Answer hold(HttpService.Request request) {
        long now = clock.getAsLong();
        for (Run run : List.copyOf(running.keySet())) {
            if (now - running.get(run) >= workMillis) {
                running.remove(run);
                ended.add(new End(run, "done"));
            }
        }
        ObjectNode answer = Json.newObject().put("born", bornMillis).put("clock_ms", now);
        ArrayNode runningRows = answer.putArray("running");
        running.forEach((run, began) -> add(runningRows, run, now - began));
        ArrayNode endedRows = answer.putArray("ended");
        for (int i = Json.read(request.body()).path("last_seen").asInt(); i < ended.size(); i++) {
            End end = ended.get(i);
            endedRows
                    .addArray()
                    .add(i + 1)
                    .add(end.run().task())
                    .add(end.run().number())
                    .add(end.how())
                    .add("");
        }
        return answer(answer);
    }

    private void add(ArrayNode rows, Run run, long millis) {
        long percent = Math.min(100, 100 * millis / workMillis);
        rows.addArray()
                .add(run.task())
                .add(run.number())
                .add(Long.toHexString(millis))
                .add(percent)
                .add(FIGURE);
    }

    private static Run run(HttpService.Request request) {
        JsonNode body = Json.read(request.body());
        return new Run(body.path("task").asText(), body.path("run_id").asInt());
    }

    private HttpService.Answer done() {
        return answer(Json.newObject().put("clock_ms", clock.getAsLong()));
    }

    private static HttpService.Answer answer(ObjectNode body) {
        return new HttpService.Answer(200, "application/json", Json.write(body));
    }
}
