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
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/** Tests what an agent does when its worker answers, refuses or is unresponsive. */
public class TestWorkerSupervisor {

    private static final long LEASE_MILLIS = 6000;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final ScriptedWorker worker = new ScriptedWorker();
    private final RecordingListener listener = new RecordingListener();
    private Fence fence = fence(1);
    private WorkerSupervisor supervisor;

    /** Records the calls of the listener. */
    private static final class RecordingListener implements IncarnationListener {

        private final List<String> events = new ArrayList<>();

        @Override
        public void confirmed(WorkerIncarnation worker) {
            events.add("confirmed " + worker);
        }

        @Override
        public void replaced(WorkerIncarnation worker, WorkerIncarnation replacement) {
            events.add("replaced " + worker);
        }

        @Override
        public void departed(WorkerIncarnation worker) {
            events.add("departed " + worker);
        }

        @Override
        public void clockFellBehind(WorkerIncarnation worker, long lagMillis) {
            events.add(worker + " behind by " + lagMillis);
        }
    }

    /** A worker that answers as set by the test, 10 ms after each call. */
    private final class ScriptedWorker implements WorkerClient {

        private CallResult.Kind startResult = CallResult.Kind.DONE;
        private CallResult.Kind renewalResult = CallResult.Kind.DONE;
        private CallResult.Kind stopResult = CallResult.Kind.DONE;
        private List<RunProgress> running = List.of();
        private List<RunEnd> ended = List.of();
        private final List<String> calls = new ArrayList<>();
        private final List<String> stopCalls = new ArrayList<>();
        private int renewals;

        private CallResult result(CallResult.Kind kind) {
            long clockMillis = kind == CallResult.Kind.UNKNOWN ? -1 : clock.nowMillis();
            return new CallResult(kind, clockMillis, "scripted");
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
            calls.add("start " + order.run().number());
            return RunnerFixtures.completeLater(loop, 10, result(startResult));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
            calls.add("stop " + run.number());
            stopCalls.add("stop " + run.number() + " of " + fence);
            return RunnerFixtures.completeLater(loop, 10, result(stopResult));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence fence,
                long recordedEnd,
                long waitMillis) {
            boolean done = renewalResult == CallResult.Kind.DONE;
            renewals++;
            List<RunEnd> unrecorded =
                    ended.stream().filter(end -> end.number() > recordedEnd).toList();
            return RunnerFixtures.completeLater(
                    loop,
                    10,
                    new RenewalResult(
                            result(renewalResult),
                            to.incarnation(),
                            done ? running : List.of(),
                            done ? unrecorded : List.of()));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence fence) {
            calls.add("share " + percent);
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
                        () -> clock.nowMillis() + LEASE_MILLIS,
                        () -> fence,
                        () -> {},
                        listener,
                        new InterferenceTable());
        supervisor.start();
        loop.advance(100);
    }

    private static Fence fence(long epoch) {
        return Fence.of(Epoch.of(epoch), LeaseGeneration.of(1));
    }

    private void order(List<StartOrder> starts, List<RunId> stops, long recordedEnd) {
        supervisor.applyOrders(
                new RunOrders(
                        Epoch.of(1),
                        LeaseGeneration.of(1),
                        RunnerFixtures.INCARNATION,
                        starts,
                        stops,
                        recordedEnd));
    }

    @Test
    public void anUnresponsiveWorkerHasLapsedOnceItsLeaseHasExpired() {
        assertTrue(supervisor.createReport().runsKnown());
        worker.renewalResult = CallResult.Kind.UNKNOWN;
        loop.advance(LEASE_MILLIS - 500);
        assertFalse(supervisor.createReport().reachable());
        assertFalse(supervisor.createReport().lapsed());
        loop.advance(1500);
        assertTrue(supervisor.createReport().lapsed());
    }

    @Test
    public void aStartWithoutAnAnswerIsRepeatedUnderTheSameNumber() {
        worker.startResult = CallResult.Kind.UNKNOWN;
        order(List.of(RunnerFixtures.startOrder()), List.of(), 0);
        loop.advance(500);
        worker.startResult = CallResult.Kind.DONE;
        loop.advance(500);
        long calls = worker.calls.stream().filter(call -> call.equals("start 1")).count();
        assertTrue(calls >= 3, () -> worker.calls.toString());
        assertEquals(calls, worker.calls.size());
    }

    @Test
    public void aRefusedStartIsReportedUntilTheLeaderAcknowledgesIt() {
        worker.startResult = CallResult.Kind.NO_ROOM;
        order(List.of(RunnerFixtures.startOrder()), List.of(), 0);
        loop.advance(100);
        assertEquals(RunnerFixtures.RUN, supervisor.createReport().refused().get(0).run());
        supervisor.reportAcknowledged(supervisor.createReport());
        assertTrue(supervisor.createReport().refused().isEmpty());
    }

    @Test
    public void aStoppedRunThatNeverStartedIsReportedAsGone() {
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(500);
        assertTrue(supervisor.createReport().gone().isEmpty());
        loop.advance(2000);
        assertEquals(List.of(RunnerFixtures.RUN), supervisor.createReport().gone());
    }

    @Test
    public void aStoppedRunWithAnEndIsNotReportedAsGone() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        order(List.of(RunnerFixtures.startOrder()), List.of(), 0);
        loop.advance(600);
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        worker.running = List.of();
        worker.ended = List.of(new RunEnd(1, RunnerFixtures.RUN, RunEndKind.STOPPED, "c"));
        loop.advance(3000);
        assertTrue(supervisor.createReport().gone().isEmpty());
        assertEquals(1, supervisor.createReport().ended().size());
    }

    @Test
    public void endsAreReportedUntilTheyAreRecorded() {
        worker.ended = List.of(new RunEnd(1, RunnerFixtures.RUN, RunEndKind.DONE, ""));
        loop.advance(1000);
        assertEquals(1, supervisor.createReport().ended().size());
        order(List.of(), List.of(), 1);
        assertTrue(supervisor.createReport().ended().isEmpty());
    }

    @Test
    public void runsOfALapsedWorkerAreNoLongerReported() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        loop.advance(1000);
        worker.renewalResult = CallResult.Kind.UNKNOWN;
        loop.advance(LEASE_MILLIS + 1000);
        assertTrue(supervisor.createReport().lapsed());
        supervisor.reportAcknowledged(supervisor.createReport());
        assertTrue(supervisor.createReport().running().isEmpty());
        assertFalse(supervisor.createReport().runsKnown());
        assertTrue(supervisor.createReport().lapsed(), "a new leader has to receive it as well");
    }

    @Test
    public void repeatedOrdersToStopDoNotMultiplyCalls() {
        worker.stopResult = CallResult.Kind.UNKNOWN;
        for (int i = 0; i < 5; i++) {
            order(List.of(), List.of(RunnerFixtures.RUN), 0);
            loop.advance(100);
        }
        worker.calls.clear();
        loop.advance(1000);
        assertTrue(worker.calls.size() <= 7, () -> worker.calls.toString());
    }

    @Test
    public void aStopWaitsForAWorkerThatDoesNotAnswer() {
        worker.renewalResult = CallResult.Kind.UNKNOWN;
        loop.advance(1000);
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(1000);
        assertTrue(worker.calls.isEmpty(), () -> worker.calls.toString());
        worker.renewalResult = CallResult.Kind.DONE;
        loop.advance(1000);
        assertEquals(List.of("stop 1"), worker.calls);
    }

    @Test
    public void aRunThatAnEarlierProcessMayHaveThrottledIsSentItsShareAgain() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        loop.advance(1000);
        order(
                List.of(new StartOrder(RunnerFixtures.RUN, "text", "", true, 0, "image")),
                List.of(),
                0);
        loop.advance(1000);
        assertTrue(worker.calls.contains("share 100"), () -> worker.calls.toString());
    }

    @Test
    public void aRefusalAfterACallWithoutAnAnswerIsOnlyReportedOnceTheRunIsStopped() {
        worker.startResult = CallResult.Kind.UNKNOWN;
        order(List.of(RunnerFixtures.startOrder()), List.of(), 0);
        loop.advance(100);
        worker.startResult = CallResult.Kind.UNWELL;
        loop.advance(500);
        assertTrue(supervisor.createReport().refused().isEmpty());
        assertTrue(worker.calls.contains("stop 1"), () -> worker.calls.toString());
        loop.advance(2000);
        assertEquals(List.of(RunnerFixtures.RUN), supervisor.createReport().gone());
    }

    @Test
    public void anIncarnationThatAnswersIsConfirmedOnce() {
        loop.advance(2000);
        assertEquals(List.of("confirmed i-1@1000"), listener.events);
        assertTrue(supervisor.isConfirmed());
    }

    @Test
    public void anIncarnationInWhosePlaceAnotherAnswersIsReplaced() {
        worker.renewalResult = CallResult.Kind.OTHER_LIFE;
        loop.advance(1000);
        assertEquals("replaced i-1@1000", listener.events.get(1));
    }

    @Test
    public void anEpochThatWasRefusedIsNotUsedAgain() {
        worker.renewalResult = CallResult.Kind.FENCED;
        loop.advance(1000);
        int before = worker.renewals;
        loop.advance(5000);
        assertEquals(before, worker.renewals);
        worker.renewalResult = CallResult.Kind.DONE;
        fence = fence(2);
        loop.advance(1000);
        assertTrue(worker.renewals > before);
        assertTrue(supervisor.createReport().reachable());
    }

    @Test
    public void aStopRefusedUnderAnOldEpochIsRepeatedUnderTheNewOne() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        loop.advance(600);
        worker.stopResult = CallResult.Kind.FENCED;
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        // The worker learns of the new leader, and the agent receives the stop order, before the
        // answer.
        fence = fence(2);
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(20);
        worker.stopResult = CallResult.Kind.DONE;
        loop.advance(500);
        assertEquals(List.of("stop 1 of 1.1", "stop 1 of 2.1"), worker.stopCalls);
    }

    @Test
    public void aStopIsNotRepeatedUnderAnEpochThatWasRefused() {
        worker.stopResult = CallResult.Kind.FENCED;
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(2000);
        assertEquals(List.of("stop 1 of 1.1"), worker.stopCalls);
    }

    @Test
    public void aRunThatIsStillListedAfterItsStopIsStoppedAgain() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(500);
        assertEquals(1, worker.stopCalls.size());
        loop.advance(1500);
        assertEquals(2, worker.stopCalls.size());
    }

    @Test
    public void aRunThatIsListedOnlyAfterItsStopIsStoppedAgain() {
        order(List.of(), List.of(RunnerFixtures.RUN), 0);
        loop.advance(500);
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 50, 0));
        loop.advance(1500);
        assertEquals(2, worker.stopCalls.size());
    }
}
