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
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.standlink.process.HttpService;

/**
 * Stand-in for a worker of the platform. It starts every run that is requested, and each run ends
 * successfully after a fixed time. It checks neither capacity nor leases and never fails. It can be
 * restarted under its id, which discards all of its state.
 *
 * <p>{@code StandInWorker} is thread-safe.
 */
public final class StandInWorker implements AutoCloseable {

    /** The measurement reported for each run: a tail latency in milliseconds, or millicores. */
    private static final long MEASUREMENT = 20;

    /** The interval between two checks for the end of a run, in milliseconds. */
    private static final long END_CHECK_MILLIS = 10;

    private final LongSupplier clock;

    /** The duration of a run, in milliseconds. */
    private final long runMillis;

    /** The start times of the running runs; guarded by this. */
    private final Map<Run, Long> running = new LinkedHashMap<>();

    /** The ended runs, oldest first; guarded by this. */
    private final List<End> ended = new ArrayList<>();

    /** The start time of the current incarnation, in milliseconds since 1970; guarded by this. */
    private long startMillis;

    private final HttpService server;

    private record Run(String task, int number) {}

    private record End(Run run, String outcome) {}

    /**
     * Creates a worker and starts to listen.
     *
     * @param address the address to listen on; port 0 for any free port
     * @param threads runs the request handlers
     * @param clock the worker's clock, in milliseconds
     * @param runMillis the duration of a run, in milliseconds
     */
    public StandInWorker(
            InetSocketAddress address,
            ExecutorService threads,
            LongSupplier clock,
            long runMillis) {
        this.clock = clock;
        this.runMillis = runMillis;
        this.startMillis = System.currentTimeMillis();
        server =
                new HttpService(address, threads)
                        .addHandler("POST", "/v1/run-start", this::start)
                        .addHandler("POST", "/v1/run-stop", this::stop)
                        .addHandler("POST", "/v1/pace", request -> okAnswer())
                        .addHandler("POST", "/v1/hold", this::renew);
    }

    /**
     * Gets the port on which the worker listens.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /** Ends the current incarnation with its runs and starts another one under the same id. */
    public synchronized void restart() {
        startMillis = Math.max(startMillis + 1, System.currentTimeMillis());
        running.clear();
        ended.clear();
    }

    /**
     * Creates the body of a heartbeat of this worker.
     *
     * @param service the service whose tasks it runs
     * @param sequence the sequence number of the heartbeat
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
                        .put("born", startMillis)
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
        running.putIfAbsent(decodeRun(request), clock.getAsLong());
        return okAnswer();
    }

    private synchronized HttpService.Answer stop(HttpService.Request request) {
        Run run = decodeRun(request);
        if (running.remove(run) != null) {
            ended.add(new End(run, "stopped"));
        }
        return okAnswer();
    }

    private synchronized HttpService.Answer renew(HttpService.Request request) {
        JsonNode body = Json.read(request.body());
        int lastSeen = body.path("last_seen").asInt();
        awaitEnd(lastSeen, body.path("wait_ms").asLong());
        long now = clock.getAsLong();
        ObjectNode answer = Json.newObject().put("born", startMillis).put("clock_ms", now);
        ArrayNode runningRows = answer.putArray("running");
        running.forEach((run, start) -> addRunning(runningRows, run, now - start));
        ArrayNode endedRows = answer.putArray("ended");
        for (int i = lastSeen; i < ended.size(); i++) {
            End end = ended.get(i);
            endedRows
                    .addArray()
                    .add(i + 1)
                    .add(end.run().task())
                    .add(end.run().number())
                    .add(end.outcome())
                    .add("");
        }
        return jsonAnswer(answer);
    }

    /**
     * Waits until a run ends that the caller has not seen, at most as long as the caller allows.
     */
    private void awaitEnd(int lastSeen, long waitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        endFinishedRuns();
        try {
            while (ended.size() <= lastSeen && System.nanoTime() < end) {
                wait(END_CHECK_MILLIS);
                endFinishedRuns();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void endFinishedRuns() {
        long now = clock.getAsLong();
        for (Run run : List.copyOf(running.keySet())) {
            if (now - running.get(run) >= runMillis) {
                running.remove(run);
                ended.add(new End(run, "done"));
            }
        }
    }

    private void addRunning(ArrayNode rows, Run run, long millis) {
        long percent = Math.min(100, 100 * millis / runMillis);
        rows.addArray()
                .add(run.task())
                .add(run.number())
                .add(Long.toHexString(millis))
                .add(percent)
                .add(MEASUREMENT);
    }

    private static Run decodeRun(HttpService.Request request) {
        JsonNode body = Json.read(request.body());
        return new Run(body.path("task").asText(), body.path("run_id").asInt());
    }

    private HttpService.Answer okAnswer() {
        return jsonAnswer(Json.newObject().put("clock_ms", clock.getAsLong()));
    }

    private static HttpService.Answer jsonAnswer(ObjectNode body) {
        return new HttpService.Answer(200, "application/json", Json.write(body));
    }
}
