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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;

/**
 * Tests that failures of work whose result is not awaited are recorded and do not end repetitions.
 *
 * <p>Without this, a leader's timer did not run for the last 24 s of a simulated day, and threads
 * ended while they answered callers, without a log line: the JDK stores such an exception in a
 * future that is never read, and does not run repeating work again after it has thrown.
 */
public class TestGuarded {

    private static final IllegalStateException DEFECT =
            new IllegalStateException("thrown by the test");

    private final List<Throwable> fatalErrors = new ArrayList<>();
    private final FakeEventLoop loop = new FakeEventLoop(new FakeClock());
    private long initialCount;
    private int runs;

    @BeforeEach
    public void setUp() {
        initialCount = WorkFailures.getCount();
        WorkFailures.setTerminationHandler(fatalErrors::add);
    }

    @AfterEach
    public void tearDown() {
        WorkFailures.setTerminationHandler(thrown -> {});
    }

    private long countRecorded() {
        return WorkFailures.getCount() - initialCount;
    }

    private void fail() {
        runs++;
        throw DEFECT;
    }

    private static void overflow(int depth) {
        overflow(depth + 1);
        assertTrue(depth >= 0);
    }

    @Test
    public void repeatingWorkContinuesAfterAnException() {
        Guarded.scheduleRepeating("test", loop, 10, this::fail);
        loop.advance(35);
        assertEquals(4, runs);
        assertEquals(4, countRecorded());
        assertEquals(List.of(), fatalErrors);
    }

    @Test
    public void failureActionRunsAfterAnException() {
        List<String> actions = new ArrayList<>();
        Guarded.work("test", this::fail, () -> actions.add("failed")).run();
        assertEquals(List.of("failed"), actions);
    }

    @Test
    public void exceptionsOfCompletionCallbacksAreRecorded() {
        CompletableFuture<String> value = new CompletableFuture<>();
        Guarded.onCompletion("test", value, (text, failure) -> fail());
        Guarded.onCompletionAsync("test", value, loop, (text, failure) -> fail());
        value.complete("done");
        loop.runDue();
        assertEquals(2, runs);
        assertEquals(2, countRecorded());
    }

    @Test
    public void anErrorTerminatesTheProcess() {
        NoClassDefFoundError error = new NoClassDefFoundError("thrown by the test");
        Guarded.work(
                        "test",
                        () -> {
                            throw error;
                        })
                .run();
        assertEquals(List.of(error), fatalErrors);
    }

    /** A caller's request may cause a stack overflow and would end one process after another. */
    @Test
    public void aStackOverflowDoesNotTerminateTheProcess() {
        Guarded.work("test", () -> overflow(0)).run();
        assertEquals(1, countRecorded());
        assertEquals(List.of(), fatalErrors);
    }

    @Test
    public void executorsRecordExceptionsOfTheirWork() throws Exception {
        ScheduledExecutorService timers = ProcessThreads.newScheduled("timers", 1);
        timers.execute(this::fail);
        timers.submit(() -> {}).get();
        assertEquals(1, countRecorded());
        ExecutorService threads = ProcessThreads.newBounded("threads", 1);
        threads.execute(this::fail);
        // The thread that has ended is replaced; its failure is recorded before it ends.
        threads.submit(() -> {}).get();
        while (countRecorded() < 2) {
            Thread.onSpinWait();
        }
        timers.shutdownNow();
        threads.shutdownNow();
    }

    // -----------------------------------------------------------------------
    private static int statusOf(HttpServer server) throws IOException {
        URL url = new URL("http://127.0.0.1:" + server.getAddress().getPort() + "/");
        HttpURLConnection call = (HttpURLConnection) url.openConnection();
        int status = call.getResponseCode();
        call.disconnect();
        return status;
    }

    @Test
    public void aFailedRequestIsAnswered() throws IOException {
        ExecutorService threads = ProcessThreads.newCached("server");
        HttpServer server = HttpService.newServer(new InetSocketAddress("127.0.0.1", 0), threads);
        HttpService.serve(
                server,
                "/",
                504,
                exchange -> {
                    throw new NoClassDefFoundError("thrown by the test");
                });
        server.start();
        assertEquals(504, statusOf(server));
        assertEquals(504, statusOf(server));
        assertEquals(2, countRecorded());
        assertFalse(fatalErrors.isEmpty());
        server.stop(0);
        threads.shutdownNow();
    }
}
