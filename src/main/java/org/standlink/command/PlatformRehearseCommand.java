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
 * {@code standlink platform rehearse}: runs an entry and a leading agent against stand-ins for some
 * seconds, loads all other classes and exits, so that the JVM can write a class archive.
 *
 * <p>Archived classes need not be read from the jar and verified when a process restarts after a
 * loss of power. On half a core, reading and verifying them takes longer than the rest of the
 * start-up.
 */
final class PlatformRehearseCommand implements Command {

    /** Any free port of the loopback address. */
    private static final InetSocketAddress ANY_FREE_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** The duration of a run, in milliseconds. */
    private static final long RUN_MILLIS = 400;

    /** The maximum time until the entry accepts a job, in milliseconds. */
    private static final long READY_TIMEOUT_MILLIS = 30_000;

    /** The pause before each attempt or query, in milliseconds. */
    private static final long PAUSE_MILLIS = 100;

    /** The number of queries of the job states; they take 4 s, by which time all jobs end. */
    private static final int STATE_QUERIES = 40;

    /** A job that ends by itself. */
    private static final JobId BATCH_JOB = JobId.parse("00000000000000a1");

    /** A job that runs until it is cancelled. */
    private static final JobId LONG_RUNNING_JOB = JobId.parse("00000000000000a2");

    /** The threads of the stand-ins and of the two processes. */
    private final ExecutorService threads = ProcessThreads.newCached("rehearsal");

    /** Where the entry serves callers. */
    private final String callersAddress = findFreeAddress();

    /** Where the entry serves its readiness. */
    private final String readyAddress = findFreeAddress();

    /** Where the agent receives heartbeats. */
    private final String heartbeatsAddress = findFreeAddress();

    /** Where the agent serves its metrics. */
    private final String metricsAddress = findFreeAddress();

    @Override
    public int run() throws IOException, InterruptedException {
        StandInStore store = new StandInStore(ANY_FREE_PORT, threads);
        MonotonicClock clock = MonotonicClock.ofSystem();
        StandInWorker worker =
                new StandInWorker(ANY_FREE_PORT, threads, clock::nowMillis, RUN_MILLIS);
        StandInCaller.publishConfiguration(store);
        String common =
                "{\"node\":\"rehearsal\",\"hall\":\"h\",\"graceMillis\":6000,\"store\":\"127.0.0.1:"
                        + store.getPort()
                        + "\",";
        launch(
                "agent",
                common
                        + "\"leaseMillis\":6000,\"statusSeconds\":120,"
                        + jsonField("listen", findFreeAddress())
                        + jsonField("heartbeats", heartbeatsAddress)
                        + "\"metrics\":\""
                        + metricsAddress
                        + "\"}");
        launch(
                "entry",
                common
                        + jsonField("callers", callersAddress)
                        + jsonField("ready", readyAddress)
                        + "\"metrics\":\""
                        + findFreeAddress()
                        + "\"}");
        boolean accepted = runWorkload(worker);
        System.out.println("classes loaded: " + ProgramClasses.loadAll());
        System.out.println(
                accepted ? "rehearsed" : "entry not ready in time; rehearsed only in part");
        return 0;
    }

    // -----------------------------------------------------------------------
    private boolean runWorkload(StandInWorker worker) throws InterruptedException {
        StandInCaller caller = new StandInCaller(callersAddress);
        boolean accepted = false;
        long sequence = 0;
        for (long remainingMillis = READY_TIMEOUT_MILLIS;
                remainingMillis > 0 && !accepted;
                remainingMillis -= PAUSE_MILLIS) {
            Thread.sleep(PAUSE_MILLIS);
            caller.sendHeartbeat(heartbeatsAddress, worker, ++sequence);
            accepted = caller.submitBatch(BATCH_JOB) == HttpURLConnection.HTTP_OK;
        }
        caller.submitLongRunning(LONG_RUNNING_JOB);
        caller.submitToUnknownQueue(LONG_RUNNING_JOB);
        for (int round = 0; round < STATE_QUERIES; round++) {
            Thread.sleep(PAUSE_MILLIS);
            if (round == STATE_QUERIES / 2) {
                worker.restart();
                sequence = 0;
            }
            caller.sendHeartbeat(heartbeatsAddress, worker, ++sequence);
            caller.queryReadiness(readyAddress);
            caller.queryState(BATCH_JOB);
            caller.queryCount();
        }
        caller.cancel(LONG_RUNNING_JOB);
        caller.get(metricsAddress, "/metrics");
        return accepted;
    }

    private void launch(String role, String settings) throws IOException {
        Path file = Files.createTempFile("standlink-rehearsal", ".json");
        file.toFile().deleteOnExit();
        Files.write(file, settings.getBytes(StandardCharsets.UTF_8));
        List<String> arguments = List.of("platform", role, "--settings", file.toString());
        threads.execute(() -> Main.run(arguments, System.out, System.err));
    }

    private static String jsonField(String name, String value) {
        return "\"" + name + "\":\"" + value + "\",";
    }

    private static String findFreeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException("no free port", failure);
        }
    }
}
