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
package org.standlink.port;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.standlink.Attempt;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.standin.MemoryWorker;
import org.standlink.standin.StandInHttpServices;

/**
 * Tests the contract of a worker, for the worker in memory and for the HTTP adapter in front of it.
 */
public class TestWorkerContract {

    private static final TaskId TASK = TaskId.parse("scan#0");

    private static final Attempt FIRST = Attempt.of(1);

    private final FakeClock clock = new FakeClock();

    private final MemoryWorker memory =
            new MemoryWorker(clock, Resources.ofCores(8, 16_000, 0), 5000, 1, 0.5);

    private final ExecutorService executor = ProcessThreads.newCached("test");

    private HttpService service;

    private enum Kind {
        MEMORY,
        HTTP
    }

    private WorkerPort worker(Kind kind) {
        if (kind == Kind.MEMORY) {
            return memory;
        }
        service = new HttpService(new InetSocketAddress("127.0.0.1", 0), executor);
        StandInHttpServices.serveWorker(service, memory);
        URI uri = URI.create("http://127.0.0.1:" + service.getPort());
        return new HttpWorker(new JsonHttpClient(uri, JsonHttpClient.newClient(executor)));
    }

    @AfterEach
    void close() {
        if (service != null) {
            service.close();
        }
        executor.shutdownNow();
    }

    private static TaskStart start(Attempt attempt, double cores, String checkpoint) {
        return new TaskStart(TASK, attempt, Resources.ofCores(cores, 1000, 0), 10, checkpoint);
    }

    private static void assertFails(ErrorCode code, Runnable call) {
        StandlinkException failure = assertThrows(StandlinkException.class, call::run);
        assertEquals(code, failure.getCode());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void runsUnderALease(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        worker.start(lease, start(FIRST, 2, null));
        clock.advance(4000);
        worker.renew(lease);
        clock.advance(4000);
        assertEquals("8000", worker.list().get(0).checkpoint());
        worker.renew(lease);
        clock.advance(3000);
        assertEquals(AttemptStatus.State.FINISHED, worker.list().get(0).state());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void stopsTasksWhenTheLeaseLapses(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        worker.start(lease, start(FIRST, 2, null));
        clock.advance(6000);
        assertEquals(AttemptStatus.State.STOPPED, worker.list().get(0).state());
        assertEquals("5000", worker.list().get(0).checkpoint());
        assertFails(ErrorCode.LEASE_LAPSED, () -> worker.renew(lease));
        assertFails(
                ErrorCode.LEASE_LAPSED, () -> worker.start(lease, start(Attempt.of(2), 2, null)));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void refusesAnotherHolderAndAnOldToken(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease superseded = worker.acquire("vm-1");
        worker.start(superseded, start(FIRST, 2, null));
        assertFails(ErrorCode.LEASE_LAPSED, () -> worker.acquire("vm-2"));
        WorkerLease reacquired = worker.acquire("vm-1");
        assertEquals(AttemptStatus.State.RUNNING, worker.list().get(0).state());
        assertFails(ErrorCode.LEASE_LAPSED, () -> worker.stop(superseded, TASK, FIRST));
        assertEquals(AttemptStatus.State.STOPPED, worker.stop(reacquired, TASK, FIRST).state());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void startsAnAttemptOnceAndNotAfterItsEnd(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        worker.start(lease, start(FIRST, 2, null));
        worker.start(lease, start(FIRST, 2, null));
        assertEquals(1, memory.getRunningAttempts().size());
        worker.stop(lease, TASK, FIRST);
        worker.start(lease, start(FIRST, 2, null));
        assertEquals(0, memory.getRunningAttempts().size());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void ignoresAStartThatArrivesAfterItsStop(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        worker.stop(lease, TASK, FIRST);
        worker.start(lease, start(FIRST, 2, null));
        assertEquals(0, memory.getRunningAttempts().size());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void resumesFromACheckpointAndThrottles(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        worker.start(lease, start(Attempt.of(2), 2, "7000"));
        worker.throttle(lease, TASK, 50);
        clock.advance(2000);
        assertEquals("8000", worker.list().get(0).checkpoint());
        assertEquals(1000, worker.list().get(0).usage().milliCores());
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void rejectsAStartAboveTheCapacity(Kind kind) {
        WorkerPort worker = worker(kind);
        WorkerLease lease = worker.acquire("vm-1");
        assertFails(ErrorCode.NO_CAPACITY, () -> worker.start(lease, start(FIRST, 9, null)));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void reportsUnavailableWhileDown(Kind kind) {
        WorkerPort worker = worker(kind);
        memory.setDown(true);
        assertFails(ErrorCode.PLATFORM_UNAVAILABLE, worker::list);
    }
}
