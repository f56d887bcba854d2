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
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.standlink.JobId;
import org.standlink.lease.MonotonicClock;
import org.standlink.platform.StandInCaller;
import org.standlink.platform.StandInStore;
import org.standlink.platform.StandInWorker;
import org.standlink.process.ProcessThreads;

/**
 * {@code standlink platform rehearse}: runs an entry and an agent that leads against stand-ins for
 * some seconds, loads all other classes and ends, so that a class archive can be written.
 *
 * <p>What a process does here need not be read from the jar and verified when it starts again after
 * a loss of power; on half a core that takes longer than all else that it does until it serves.
 */
final class PlatformRehearseCommand implements Command {

    /** A free port of the loopback address. */
    private static final InetSocketAddress FREE = new InetSocketAddress("127.0.0.1", 0);

    /** How long a run works, in milliseconds. */
    private static final long WORK_MILLIS = 400;

    /** How long it may take until the entry accepts a job, in milliseconds. */
    private static final long READY_MILLIS = 30_000;

    /** The pause between two tries, in milliseconds. */
    private static final long PAUSE_MILLIS = 100;

    /** How often the jobs' states are asked for: for 4 s, so that all jobs end meanwhile. */
    private static final int ROUNDS = 40;

    /** The job that ends. */
    private static final JobId BATCH_JOB = JobId.parse("00000000000000a1");

    /** The job that lasts until it is cancelled. */
    private static final JobId LASTING_JOB = JobId.parse("00000000000000a2");

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
        StandInCaller.publishConfiguration(store);
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
        System.out.println("classes loaded: " + ProgramClasses.loadAll());
        System.out.println(served ? "rehearsed" : "not ready in time; rehearsed in part only");
        return 0;
    }

    // -----------------------------------------------------------------------
    private boolean serve(StandInWorker worker) throws InterruptedException {
        StandInCaller caller = new StandInCaller(callers);
        boolean accepted = false;
        long sequence = 0;
        for (long left = READY_MILLIS; left > 0 && !accepted; left -= PAUSE_MILLIS) {
            Thread.sleep(PAUSE_MILLIS);
            caller.sendHeartbeat(heartbeats, worker, ++sequence);
            accepted = caller.submitBatch(BATCH_JOB) == HttpURLConnection.HTTP_OK;
        }
        caller.submitLongRunning(LASTING_JOB);
        caller.submitToUnknownQueue(LASTING_JOB);
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(PAUSE_MILLIS);
            if (round == ROUNDS / 2) {
                worker.restart();
                sequence = 0;
            }
            caller.sendHeartbeat(heartbeats, worker, ++sequence);
            caller.queryReadiness(ready);
            caller.queryState(BATCH_JOB);
            caller.queryCount();
        }
        caller.cancel(LASTING_JOB);
        caller.get(metrics, "/metrics");
        return accepted;
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
