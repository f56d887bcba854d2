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
import org.standlink.cell.CellTimes;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/**
 * Tests how an agent treats start calls that are not answered.
 *
 * <p>Guards against runs that the next incarnation of a worker starts beside the run that replaced
 * them, or after the task has been completed: a call was not answered and was repeated after 650
 * ms, although the first one had been carried out. The worker crashed, and its next incarnation
 * under the same id, which had received no fence, carried out the other call seconds later. Neither
 * the agent nor the leader knew that the outcome of a call was unknown.
 */
public class TestInDoubtStarts {

    private static final long LEASE_MILLIS = 6000;
    private static final RunId RUN = RunnerFixtures.RUN;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final ScriptedWorker worker = new ScriptedWorker();
    private final Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private WorkerSupervisor supervisor;

    /** A worker that carries out and answers calls as set by the test. */
    private final class ScriptedWorker implements WorkerClient {

        private boolean answersStarts = true;
        private boolean answersRenewals = true;
        private boolean carriesOutStarts = true;
        private int startCalls;
        private final List<RunProgress> running = new ArrayList<>();
        private List<RunEnd> ended = List.of();

        private CallResult result(boolean answered) {
            CallResult.Kind kind = answered ? CallResult.Kind.DONE : CallResult.Kind.UNKNOWN;
            return new CallResult(kind, answered ? clock.nowMillis() : -1, "scripted");
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence under) {
            startCalls++;
            if (carriesOutStarts) {
                running.add(new RunProgress(order.run(), "", 0, 0));
            }
            return RunnerFixtures.completeLater(
                    loop, answersStarts ? 10 : 500, result(answersStarts));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence under) {
            return RunnerFixtures.completeLater(loop, 10, result(true));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence under,
                long recordedEnd,
                long waitMillis) {
            return RunnerFixtures.completeLater(
                    loop,
                    10 + waitMillis,
                    new RenewalResult(
                            result(answersRenewals),
                            to.incarnation(),
                            List.copyOf(running),
                            ended));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence under) {
            return RunnerFixtures.completeLater(loop, 10, result(true));
        }
    }

    @BeforeEach
    public void start() {
        supervisor = startSupervisor();
    }

    private WorkerSupervisor startSupervisor() {
        WorkerSupervisor started =
                new WorkerSupervisor(
                        RunnerFixtures.WORKER,
                        worker,
                        clock,
                        loop,
                        () -> clock.nowMillis() + LEASE_MILLIS,
                        () -> fence,
                        () -> {},
                        RunnerFixtures.NO_OP_LISTENER,
                        new InterferenceTable());
        started.start();
        loop.advance(100);
        return started;
    }

    private void orderStart() {
        supervisor.applyOrders(
                new RunOrders(
                        fence.getEpoch(),
                        fence.getGeneration(),
                        RunnerFixtures.INCARNATION,
                        List.of(RunnerFixtures.startOrder()),
                        List.of(),
                        0));
    }

    private List<RunId> listInDoubt() {
        return supervisor.createReport().inDoubt();
    }

    // -----------------------------------------------------------------------
    @Test
    public void aStartIsInDoubtOnlyUntilItIsAnswered() {
        orderStart();
        assertEquals(List.of(RUN), listInDoubt(), "the call is in progress");
        loop.advance(100);
        assertEquals(List.of(), listInDoubt());
    }

    @Test
    public void aStartThatWasCarriedOutWithoutAnAnswerIsNotRepeated() {
        worker.answersStarts = false;
        orderStart();
        loop.advance(5000);
        assertEquals(1, worker.startCalls);
        assertEquals(List.of(), listInDoubt(), "its only call was carried out");
    }

    @Test
    public void aStartIsRepeatedOnlyAfterAListHasShownThatItWasNotCarriedOut() {
        worker.answersStarts = false;
        worker.carriesOutStarts = false;
        orderStart();
        worker.answersRenewals = false;
        loop.advance(3000);
        assertEquals(1, worker.startCalls, "no list was received");
        worker.answersStarts = true;
        worker.answersRenewals = true;
        worker.carriesOutStarts = true;
        loop.advance(1000);
        assertEquals(2, worker.startCalls);
        assertEquals(List.of(RUN), listInDoubt(), "the first call may still be carried out");
        assertTrue(supervisor.isHigherFenceRequired(), "it is to be refused from then on");
    }

    @Test
    public void aStartIsInDoubtAsLongAsItsRunMayExist() {
        worker.answersStarts = false;
        worker.carriesOutStarts = false;
        orderStart();
        worker.answersRenewals = false;
        loop.advance(LEASE_MILLIS + 2000);
        supervisor.dropOrdersIfLapsed();
        assertTrue(supervisor.createReport().lapsed());
        assertEquals(List.of(RUN), listInDoubt());
        supervisor.reportAcknowledged(supervisor.createReport());
        loop.advance(CellTimes.START_IN_DOUBT_MILLIS - LEASE_MILLIS - 2100);
        assertEquals(List.of(RUN), listInDoubt());
        loop.advance(200);
        assertEquals(List.of(), listInDoubt());
    }

    @Test
    public void aRunThatIsListedIsNotStartedAgain() {
        worker.running.add(new RunProgress(RUN, "", 10, 0));
        supervisor = startSupervisor();
        orderStart();
        loop.advance(1000);
        assertEquals(0, worker.startCalls);
        assertFalse(supervisor.createReport().running().isEmpty());
    }

    /**
     * Guards against a needless call that the next incarnation carries out after the end of the run
     * has been recorded: a new leader orders the run again before it has received the end.
     */
    @Test
    public void aRunWhoseEndIsListedIsNotStarted() {
        worker.ended = List.of(new RunEnd(1, RUN, RunEndKind.DONE, ""));
        supervisor = startSupervisor();
        orderStart();
        loop.advance(1000);
        assertEquals(0, worker.startCalls);
        assertEquals(worker.ended, supervisor.createReport().ended());
    }

    @Test
    public void callsInProgressForOneRunAreTrackedSeparately() {
        InDoubtStarts starts = new InDoubtStarts();
        long first = starts.beginCall(RUN, fence, 0);
        long second = starts.beginCall(RUN, fence, 100);
        starts.endCall(RUN, first, CallResult.Kind.DONE);
        starts.endCall(RUN, second, CallResult.Kind.UNKNOWN);
        assertTrue(starts.contains(RUN, 200));
        assertFalse(starts.contains(RUN, second));
    }

    @Test
    public void aRefusedCallDoesNotKeepAListedRunInDoubt() {
        InDoubtStarts starts = new InDoubtStarts();
        starts.endCall(RUN, starts.beginCall(RUN, fence, 0), CallResult.Kind.LEASE_PAST);
        starts.endCall(RUN, starts.beginCall(RUN, fence, 100), CallResult.Kind.UNKNOWN);
        assertTrue(starts.contains(RUN, 200));
        starts.resolveListed(new ReportedRuns(List.of(new RunProgress(RUN, "", 0, 0)), List.of()));
        assertFalse(starts.contains(RUN, 200));
    }
}
