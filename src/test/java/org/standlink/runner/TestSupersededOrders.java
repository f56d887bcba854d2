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
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;
import org.standlink.wire.WorkerReport;

/**
 * Tests that an agent does not start runs that its leader has abandoned.
 *
 * <p>A leader abandons runs when a lease has expired by its own records, or when an agent reports
 * that the lease of a worker has lapsed. Starts that the agent has deferred or has in progress must
 * not take effect afterwards: such a run would run beside the one that replaces it.
 */
public class TestSupersededOrders {

    private static final long LEASE_MILLIS = 6000;
    private static final long SLOW_ANSWER_MILLIS = 450;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final ScriptedWorker worker = new ScriptedWorker();
    private Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private boolean leased = true;
    private WorkerSupervisor supervisor;

    /** A worker that answers as set by the test. */
    private final class ScriptedWorker implements WorkerClient {

        private CallResult.Kind startResult = CallResult.Kind.DONE;
        private long startDelayMillis = 10;
        private boolean unresponsive;
        private final List<String> calls = new ArrayList<>();
        private final List<Long> leaseEnds = new ArrayList<>();

        private CallResult result(CallResult.Kind kind) {
            CallResult.Kind answered = unresponsive ? CallResult.Kind.UNKNOWN : kind;
            long clockMillis = answered == CallResult.Kind.UNKNOWN ? -1 : clock.nowMillis();
            return new CallResult(answered, clockMillis, "scripted");
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
            calls.add("start under " + fence);
            return RunnerFixtures.completeLater(loop, startDelayMillis, result(startResult));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
            calls.add("stop under " + fence);
            return RunnerFixtures.completeLater(loop, 10, result(CallResult.Kind.DONE));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence fence,
                long recordedEnd,
                long waitMillis) {
            leaseEnds.add(leaseUntil);
            return RunnerFixtures.completeLater(
                    loop,
                    10,
                    new RenewalResult(
                            result(CallResult.Kind.DONE), to.incarnation(), List.of(), List.of()));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence fence) {
            return RunnerFixtures.completeLater(loop, 10, result(CallResult.Kind.DONE));
        }
    }

    @BeforeEach
    public void start() {
        supervisor =
                new WorkerSupervisor(
                        RunnerFixtures.WORKER,
                        worker,
                        clock,
                        loop,
                        () -> leased ? clock.nowMillis() + LEASE_MILLIS : 0,
                        () -> fence,
                        () -> {},
                        RunnerFixtures.NO_OP_LISTENER,
                        new InterferenceTable());
        supervisor.start();
        loop.advance(100);
    }

    private void order() {
        StartOrder order = RunnerFixtures.startOrder();
        supervisor.applyOrders(
                new RunOrders(
                        fence.getEpoch(),
                        fence.getGeneration(),
                        RunnerFixtures.INCARNATION,
                        List.of(order),
                        List.of(),
                        0));
    }

    private void raiseFence() {
        fence = Fence.of(fence.getEpoch(), fence.getGeneration().next());
        supervisor.fenceRaised();
    }

    private WorkerReport report() {
        supervisor.dropOrdersIfLapsed();
        return supervisor.createReport();
    }

    private void lapse() {
        worker.unresponsive = true;
        loop.advance(LEASE_MILLIS + 1500);
        assertTrue(report().lapsed());
    }

    // -----------------------------------------------------------------------
    @Test
    public void anOrderThatWaitsForALeaseIsDroppedUnderAHigherFence() {
        leased = false;
        order();
        loop.advance(1000);
        raiseFence();
        leased = true;
        loop.advance(2000);
        assertEquals(List.of(), worker.calls);
    }

    @Test
    public void anOrderThatWaitsForALeaseIsCarriedOutOnceTheLeaseIsExtended() {
        leased = false;
        order();
        loop.advance(1000);
        leased = true;
        loop.advance(2000);
        assertEquals(List.of("start under 1.1"), worker.calls);
    }

    @Test
    public void aRepeatedOrderIsCarriedOutUnderTheHigherFence() {
        leased = false;
        order();
        raiseFence();
        order();
        leased = true;
        loop.advance(2000);
        assertEquals(List.of("start under 1.2"), worker.calls);
    }

    @Test
    public void theAnswerToASupersededCallDoesNotAffectTheRepeatedOrder() {
        worker.startResult = CallResult.Kind.NO_ROOM;
        worker.startDelayMillis = SLOW_ANSWER_MILLIS;
        order();
        loop.advance(100);
        raiseFence();
        worker.startResult = CallResult.Kind.DONE;
        worker.startDelayMillis = 10;
        order();
        loop.advance(2000);
        assertEquals(List.of("start under 1.1", "start under 1.2"), worker.calls);
        assertEquals(List.of(), report().refused());
    }

    @Test
    public void aFencedSupersededCallDoesNotCancelTheRepeatedOrder() {
        worker.startResult = CallResult.Kind.FENCED;
        worker.startDelayMillis = SLOW_ANSWER_MILLIS;
        order();
        loop.advance(100);
        fence = Fence.of(Epoch.of(2), LeaseGeneration.of(1));
        supervisor.fenceRaised();
        leased = false;
        order();
        loop.advance(1000);
        worker.startResult = CallResult.Kind.DONE;
        leased = true;
        loop.advance(1000);
        assertEquals(List.of("start under 1.1", "start under 2.1"), worker.calls);
    }

    @Test
    public void aRunWhoseRefusalIsNotYetReportedIsNotStartedAgain() {
        worker.startResult = CallResult.Kind.NO_ROOM;
        order();
        loop.advance(100);
        worker.startResult = CallResult.Kind.DONE;
        order();
        loop.advance(2000);
        assertEquals(1, worker.calls.size(), () -> worker.calls.toString());
        assertEquals(RunnerFixtures.RUN, report().refused().get(0).run());
    }

    // -----------------------------------------------------------------------
    @Test
    public void waitingStartsAreDroppedOnceTheWorkerIsReportedAsLapsed() {
        worker.unresponsive = true;
        loop.advance(600);
        order();
        lapse();
        // The answer to the report is lost, and the worker answers again.
        worker.unresponsive = false;
        loop.advance(2000);
        assertEquals(List.of(), worker.calls);
        assertTrue(report().lapsed(), "the leader may not have received it");
        supervisor.reportAcknowledged(report());
        assertFalse(report().lapsed());
        order();
        loop.advance(100);
        assertEquals(List.of("start under 1.1"), worker.calls);
    }

    @Test
    public void anOrderThatCrossesTheReportOfALapseIsReportedAsGone() {
        lapse();
        worker.unresponsive = false;
        loop.advance(1000);
        order();
        loop.advance(1000);
        assertEquals(List.of(), worker.calls);
        assertEquals(List.of(RunnerFixtures.RUN), report().gone());
    }

    @Test
    public void noLeaseIsExtendedWhileALapseIsUnacknowledged() {
        lapse();
        worker.unresponsive = false;
        worker.leaseEnds.clear();
        loop.advance(1000);
        assertTrue(worker.leaseEnds.stream().allMatch(leaseUntil -> leaseUntil < 0));
        supervisor.reportAcknowledged(report());
        loop.advance(1000);
        assertTrue(worker.leaseEnds.stream().anyMatch(leaseUntil -> leaseUntil > 0));
    }

    @Test
    public void aWorkerThatAnsweredOnceMayHoldRunsOfAnEarlierAgentProcess() {
        leased = false;
        WorkerSupervisor newSupervisor =
                new WorkerSupervisor(
                        RunnerFixtures.WORKER,
                        worker,
                        clock,
                        loop,
                        () -> 0L,
                        () -> fence,
                        () -> {},
                        RunnerFixtures.NO_OP_LISTENER,
                        new InterferenceTable());
        newSupervisor.start();
        loop.advance(100);
        worker.unresponsive = true;
        loop.advance(LEASE_MILLIS - 500);
        assertFalse(newSupervisor.createReport().reachable());
        assertFalse(newSupervisor.createReport().lapsed());
        loop.advance(1500);
        assertTrue(newSupervisor.createReport().lapsed());
    }
}
