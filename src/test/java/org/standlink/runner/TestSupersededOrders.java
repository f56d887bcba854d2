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
import org.standlink.FakeLoop;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;
import org.standlink.wire.WorkerReport;

/**
 * Tests that an agent starts nothing that its leader has given up.
 *
 * <p>A leader gives runs up when a lease is over in its book, or when an agent reports that a
 * worker has lapsed. Whatever the agent still has to start, or has under way, must not begin
 * afterwards: it would be at work beside the run that has taken its place.
 */
public class TestSupersededOrders {

    private static final long LEASE_MILLIS = 6000;
    private static final long SLOW_MILLIS = 450;

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final Script worker = new Script();
    private Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private boolean leased = true;
    private WorkerSupervisor supervisor;

    /** A worker that answers as the test says. */
    private final class Script implements WorkerClient {

        private CallResult.Kind starts = CallResult.Kind.DONE;
        private long startMillis = 10;
        private boolean silent;
        private final List<String> seen = new ArrayList<>();
        private final List<Long> prolonged = new ArrayList<>();

        private CallResult result(CallResult.Kind kind) {
            CallResult.Kind told = silent ? CallResult.Kind.UNKNOWN : kind;
            long clockMillis = told == CallResult.Kind.UNKNOWN ? -1 : clock.nowMillis();
            return new CallResult(told, clockMillis, "scripted");
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long until, Fence under) {
            seen.add("start under " + under);
            return RunnerFixtures.completeLater(loop, startMillis, result(starts));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence under) {
            seen.add("stop under " + under);
            return RunnerFixtures.completeLater(loop, 10, result(CallResult.Kind.DONE));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to, long until, Fence under, long recorded, long waitMillis) {
            prolonged.add(until);
            return RunnerFixtures.completeLater(
                    loop,
                    10,
                    new RenewalResult(
                            result(CallResult.Kind.DONE), to.incarnation(), List.of(), List.of()));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence under) {
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
        worker.silent = true;
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
        assertEquals(List.of(), worker.seen);
    }

    @Test
    public void anOrderThatWaitsForALeaseIsCarriedOutOnceTheLeaseIsExtended() {
        leased = false;
        order();
        loop.advance(1000);
        leased = true;
        loop.advance(2000);
        assertEquals(List.of("start under 1.1"), worker.seen);
    }

    @Test
    public void aRepeatedOrderIsCarriedOutUnderTheHigherFence() {
        leased = false;
        order();
        raiseFence();
        order();
        leased = true;
        loop.advance(2000);
        assertEquals(List.of("start under 1.2"), worker.seen);
    }

    @Test
    public void theAnswerToASupersededCallDoesNotAffectTheRepeatedOrder() {
        worker.starts = CallResult.Kind.NO_ROOM;
        worker.startMillis = SLOW_MILLIS;
        order();
        loop.advance(100);
        raiseFence();
        worker.starts = CallResult.Kind.DONE;
        worker.startMillis = 10;
        order();
        loop.advance(2000);
        assertEquals(List.of("start under 1.1", "start under 1.2"), worker.seen);
        assertEquals(List.of(), report().refused());
    }

    @Test
    public void aFencedSupersededCallDoesNotCancelTheRepeatedOrder() {
        worker.starts = CallResult.Kind.FENCED;
        worker.startMillis = SLOW_MILLIS;
        order();
        loop.advance(100);
        fence = Fence.of(Epoch.of(2), LeaseGeneration.of(1));
        supervisor.fenceRaised();
        leased = false;
        order();
        loop.advance(1000);
        worker.starts = CallResult.Kind.DONE;
        leased = true;
        loop.advance(1000);
        assertEquals(List.of("start under 1.1", "start under 2.1"), worker.seen);
    }

    @Test
    public void aRunWhoseRefusalIsNotYetReportedIsNotStartedAgain() {
        worker.starts = CallResult.Kind.NO_ROOM;
        order();
        loop.advance(100);
        worker.starts = CallResult.Kind.DONE;
        order();
        loop.advance(2000);
        assertEquals(1, worker.seen.size(), () -> worker.seen.toString());
        assertEquals(RunnerFixtures.RUN, report().refused().get(0).run());
    }

    // -----------------------------------------------------------------------
    @Test
    public void waitingStartsAreDroppedOnceTheWorkerIsReportedAsLapsed() {
        worker.silent = true;
        loop.advance(600);
        order();
        lapse();
        // The answer to the report is lost, and the worker is back.
        worker.silent = false;
        loop.advance(2000);
        assertEquals(List.of(), worker.seen);
        assertTrue(report().lapsed(), "the leader may not have heard it");
        supervisor.reportAcknowledged(report());
        assertFalse(report().lapsed());
        order();
        loop.advance(100);
        assertEquals(List.of("start under 1.1"), worker.seen);
    }

    @Test
    public void anOrderThatCrossesTheReportOfALapseIsReportedAsGone() {
        lapse();
        worker.silent = false;
        loop.advance(1000);
        order();
        loop.advance(1000);
        assertEquals(List.of(), worker.seen);
        assertEquals(List.of(RunnerFixtures.RUN), report().gone());
    }

    @Test
    public void noLeaseIsExtendedWhileALapseIsUnacknowledged() {
        lapse();
        worker.silent = false;
        worker.prolonged.clear();
        loop.advance(1000);
        assertTrue(worker.prolonged.stream().allMatch(until -> until < 0));
        supervisor.reportAcknowledged(report());
        loop.advance(1000);
        assertTrue(worker.prolonged.stream().anyMatch(until -> until > 0));
    }

    @Test
    public void aWorkerThatAnsweredOnceMayHoldRunsOfAnEarlierAgentProcess() {
        leased = false;
        WorkerSupervisor restarted =
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
        restarted.start();
        loop.advance(100);
        worker.silent = true;
        loop.advance(LEASE_MILLIS - 500);
        assertFalse(restarted.createReport().reachable());
        assertFalse(restarted.createReport().lapsed());
        loop.advance(1500);
        assertTrue(restarted.createReport().lapsed());
    }
}
