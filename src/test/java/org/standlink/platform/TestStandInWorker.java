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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.process.ProcessThreads;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.wire.StartOrder;

/**
 * Tests that the stand-in of a worker restarts as a worker does: under the same id and without
 * state.
 */
public class TestStandInWorker {

    private static final WorkerId ID = WorkerId.parse("i-1");
    private static final Fence FENCE = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private static final long RUN_MILLIS = 1000;

    private final FakeClock clock = new FakeClock();
    private final ExecutorService threads = ProcessThreads.newCached("test");
    private final StandInWorker worker =
            new StandInWorker(
                    new InetSocketAddress("127.0.0.1", 0), threads, clock::nowMillis, RUN_MILLIS);
    private final HttpWorkerClient client = new HttpWorkerClient(new PlatformHttpClient(threads));

    @AfterEach
    public void close() {
        worker.close();
        threads.shutdownNow();
    }

    private WorkerDescription describe() {
        byte[] body = worker.createHeartbeat("s", 1).getBytes(StandardCharsets.UTF_8);
        return HeartbeatFormat.decode(ID, body).worker();
    }

    private void start(WorkerDescription to, int index) {
        RunId run = new RunId(TaskName.parse("5c0e7a21d94b36f8.0.0." + index), 1);
        StartOrder order = new StartOrder(run, "text", "", false, 0, "");
        assertEquals(CallResult.Kind.DONE, client.start(to, order, 60_000, FENCE).join().kind());
    }

    private RenewalResult renew(WorkerDescription to) {
        return client.renew(to, 60_000, FENCE, 0, 0).join();
    }

    @Test
    public void restartedWorkerListsNoRunsAndNumbersItsEndsAnew() {
        WorkerDescription former = describe();
        start(former, 0);
        clock.advance(RUN_MILLIS);
        start(former, 1);
        RenewalResult before = renew(former);
        assertEquals(former.incarnation(), before.incarnation());
        assertEquals(1, before.running().size());
        assertEquals(1, before.ended().size());
        worker.restart();
        RenewalResult after = renew(former);
        assertTrue(after.incarnation().isOtherIncarnationOf(former.incarnation()));
        assertEquals(List.of(), after.running());
        assertEquals(List.of(), after.ended());
        WorkerDescription current = describe();
        assertEquals(current.incarnation(), after.incarnation());
        start(current, 2);
        clock.advance(RUN_MILLIS);
        assertEquals(1, renew(current).ended().get(0).number());
    }
}
