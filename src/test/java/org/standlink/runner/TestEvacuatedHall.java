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
package org.standlink.runner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;
import org.standlink.wire.StartRefusal;

/**
 * Tests that an agent starts nothing in an evacuated hall, whichever leader ordered it, and that
 * runs that are running there continue.
 *
 * <p>Guards against starts in halls that the operator has evacuated (842 tasks were once started in
 * two such halls): the leader may have read less of the operator's commands than the agent, so the
 * agent has to check before each start.
 */
public class TestEvacuatedHall {

    private static final EvacuatedHalls WORKER_HALL =
            EvacuatedHalls.of(List.of(RunnerFixtures.WORKER.hall()));

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private final ScriptedWorker worker = new ScriptedWorker();
    private EvacuatedHalls evacuated = EvacuatedHalls.NONE;
    private WorkerSupervisor supervisor;

    /** A worker that answers as set by the test. */
    private final class ScriptedWorker implements WorkerClient {

        private final List<String> calls = new ArrayList<>();
        private CallResult.Kind startResult = CallResult.Kind.DONE;
        private List<RunProgress> running = List.of();
        private int renewals;

        private CompletableFuture<CallResult> answer(CallResult.Kind kind) {
            long clockMillis =
                    kind == CallResult.Kind.UNKNOWN ? CallResult.NO_CLOCK : clock.nowMillis();
            return RunnerFixtures.completeLater(
                    loop, 10, new CallResult(kind, clockMillis, "scripted"));
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
            calls.add("start");
            return answer(startResult);
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
            calls.add("stop");
            return answer(CallResult.Kind.DONE);
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence fence,
                long recordedEnd,
                long waitMillis) {
            renewals++;
            CallResult done = new CallResult(CallResult.Kind.DONE, clock.nowMillis(), "");
            return RunnerFixtures.completeLater(
                    loop, 10, new RenewalResult(done, to.incarnation(), running, List.of()));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence fence) {
            return answer(CallResult.Kind.DONE);
        }
    }

    @BeforeEach
    public void start() {
        supervisor =
                new WorkerSupervisor(
                        RunnerFixtures.WORKER,
                        new EvacuationGuard(worker, () -> evacuated),
                        clock,
                        loop,
                        () -> clock.nowMillis() + 6000,
                        () -> fence,
                        () -> {},
                        RunnerFixtures.NO_OP_LISTENER,
                        new InterferenceTable());
        supervisor.start();
        loop.advance(100);
    }

    private void order() {
        supervisor.applyOrders(
                new RunOrders(
                        fence.getEpoch(),
                        fence.getGeneration(),
                        RunnerFixtures.INCARNATION,
                        List.of(RunnerFixtures.startOrder()),
                        List.of(),
                        0));
    }

    @Test
    public void aStartIsRefusedWithoutACallAndItsWorkerAvoidedForAWhile() {
        evacuated = WORKER_HALL;
        order();
        loop.advance(1000);
        assertEquals(List.of(), worker.calls);
        List<StartRefusal> refused = supervisor.createReport().refused();
        assertEquals(RunnerFixtures.RUN, refused.get(0).run());
        assertTrue(refused.get(0).unwell());
    }

    @Test
    public void aStartWithoutAnAnswerIsNotRepeatedButStopped() {
        worker.startResult = CallResult.Kind.UNKNOWN;
        order();
        loop.advance(50);
        evacuated = WORKER_HALL;
        loop.advance(3000);
        assertEquals("start", worker.calls.get(0));
        assertEquals("stop", worker.calls.get(1));
        assertEquals(1, worker.calls.stream().filter("start"::equals).count());
        assertEquals(List.of(RunnerFixtures.RUN), supervisor.createReport().gone());
    }

    @Test
    public void aRunThatIsRunningContinuesAlsoAfterItsOrderIsRepeated() {
        order();
        loop.advance(50);
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 10, 0));
        loop.advance(1000);
        evacuated = WORKER_HALL;
        supervisor.fenceRaised();
        int before = worker.renewals;
        order();
        loop.advance(3000);
        assertEquals(List.of("start"), worker.calls);
        assertTrue(worker.renewals > before);
        assertEquals(List.of(), supervisor.createReport().refused());
    }

    @Test
    public void aHallThatIsNoLongerEvacuatedIsUsedAtOnce() {
        evacuated = WORKER_HALL;
        evacuated = EvacuatedHalls.NONE;
        order();
        loop.advance(50);
        assertEquals(List.of("start"), worker.calls);
    }
}
