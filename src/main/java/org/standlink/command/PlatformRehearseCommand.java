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
package org.standlink.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.standlink.lease.MonotonicClock;
import org.standlink.platform.StandInStore;
import org.standlink.platform.StandInWorker;
import org.standlink.process.ProcessThreads;

/**
 * {@code standlink platform rehearse}: runs an entry and an agent that leads against stand-ins for
 * some seconds and ends, so that a class archive can be written.
 *
 * <p>What a process does here need not be read from the jar and verified when it starts again after
 * a loss of power; on half a core that takes longer than all else that it does until it serves.
 */
final class PlatformRehearseCommand implements Command {

    /** A free port of the loopback address. */
    private static final InetSocketAddress FREE = new InetSocketAddress("127.0.0.1", 0);

    /** How long a run works, in milliseconds. */
    private static final long WORK_MILLIS = 400;

    /** How long a call may take, in milliseconds. */
    private static final long CALL_MILLIS = 2000;

    /** How long it may take until the entry accepts a job, in milliseconds. */
    private static final long READY_MILLIS = 30_000;

    /** The pause between two tries, in milliseconds. */
    private static final long PAUSE_MILLIS = 100;

    /** How often the jobs' states are asked for: for 4 s, so that all jobs end meanwhile. */
    private static final int ROUNDS = 40;

    /** The configuration: one queue. */
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q/\","
                    + "\"service\":\"s\",\"priority\":1,\"max_attempts\":3,"
                    + "\"target_latency_ms\":1000,\"stretch\":2.0}],"
                    + "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
                    + "\"limits\":{\"max_body_bytes\":262144}}";

    /** A job of two steps, of best-effort work and of other work. */
    private static final String BATCH =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"estimated_ms\":400,\"checkpointing\":true,\"fills\":true,\"image\":\"b\"},"
                    + "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":400,"
                    + "\"after\":[0],\"anti_affinity\":2,\"colocate\":\"r1\"}]}";

    /** A job that lasts until it is cancelled. */
    private static final String LASTING =
            "{\"spec\":\"text\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
                    + "\"perpetual\":true,\"image\":\"a\",\"target_ms\":50}]}";

    /** The callers', the balancer's, the worker's and the counters' calls. */
    private final HttpClient client = HttpClient.newHttpClient();

    /** The threads of the stand-ins and of the two processes. */
    private final ExecutorService threads = ProcessThreads.newCached("rehearsal");

    /** Where the entry takes callers. */
    private final String callers = freeAddress();

    /** Where the entry tells whether it is ready. */
    private final String ready = freeAddress();

    /** Where the agent takes heartbeats. */
    private final String heartbeats = freeAddress();

    /** Where the agent serves its counters. */
    private final String metrics = freeAddress();

    @Override
    public int run() throws IOException, InterruptedException {
        StandInStore store = new StandInStore(FREE, threads);
        MonotonicClock clock = MonotonicClock.ofSystem();
        StandInWorker worker = new StandInWorker(FREE, threads, clock::nowMillis, WORK_MILLIS);
        store.publish(CONFIGURATION);
        String common =
                "{\"node\":\"rehearsal\",\"hall\":\"h\",\"graceMillis\":6000,\"store\":\"127.0.0.1:"
                        + store.getPort()
                        + "\",";
        launch(
                "agent",
                common
                        + "\"leaseMillis\":6000,\"statusSeconds\":120,"
                        + field("listen", freeAddress())
                        + field("heartbeats", heartbeats)
                        + "\"metrics\":\""
                        + metrics
                        + "\"}");
        launch(
                "entry",
                common
                        + field("callers", callers)
                        + field("ready", ready)
                        + "\"metrics\":\""
                        + freeAddress()
                        + "\"}");
        boolean served = serve(worker);
        System.out.println(served ? "rehearsed" : "not ready in time; rehearsed in part only");
        return 0;
    }

    // -----------------------------------------------------------------------
    private boolean serve(StandInWorker worker) throws IOException, InterruptedException {
        boolean accepted = false;
        long sequence = 0;
        for (long left = READY_MILLIS; left > 0 && !accepted; left -= PAUSE_MILLIS) {
            Thread.sleep(PAUSE_MILLIS);
            beat(worker, ++sequence);
            accepted = call("POST", callers, "/q/00000000000000a1", BATCH) == 200;
        }
        call("POST", callers, "/q/00000000000000a2", LASTING);
        call("POST", callers, "/none/00000000000000a2", LASTING);
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(PAUSE_MILLIS);
            beat(worker, ++sequence);
            call("GET", ready, "/v1/ready", "");
            call("GET", callers, "/q/00000000000000a1", "");
            call("GET", callers, "/q/", "");
        }
        call("DELETE", callers, "/q/00000000000000a2", "");
        call("GET", metrics, "/metrics", "");
        return accepted;
    }

    private void beat(StandInWorker worker, long sequence) throws InterruptedException {
        call("PUT", heartbeats, "/v1/instances/i-1", worker.heartbeat("s", sequence));
    }

    /** Calls one of the two processes; one that does not listen yet counts as status 0. */
    private int call(String method, String address, String path, String body)
            throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(CALL_MILLIS))
                        .header("Content-Type", "application/json")
                        .header("X-Deadline-Ms", Long.toString(CALL_MILLIS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException notYet) {
            return 0;
        }
    }

    private void launch(String role, String settings) throws IOException {
        Path file = Files.createTempFile("standlink-rehearsal", ".json");
        file.toFile().deleteOnExit();
        Files.write(file, settings.getBytes(StandardCharsets.UTF_8));
        List<String> arguments = List.of("platform", role, "--settings", file.toString());
        threads.execute(() -> Main.run(arguments, System.out, System.err));
    }

    private static String field(String name, String value) {
        return "\"" + name + "\":\"" + value + "\",";
    }

    private static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException noPort) {
            throw new UncheckedIOException("no free port", noPort);
        }
    }
}
