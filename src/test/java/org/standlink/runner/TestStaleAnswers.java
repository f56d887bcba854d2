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
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/**
 * Tests that an agent gives a run back only on what the worker said after it was asked last.
 *
 * <p>A run that is reported as refused or gone begins elsewhere at once, under the next number. So
 * neither a list from before the worker turned the start away nor a refusal that a start still
 * under way may outlive is a reason to report it.
 */
public class TestStaleAnswers {

    private static final long CALL_MILLIS = 500;

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final Script worker = new Script();
    private Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private WorkerSupervisor supervisor;

    /** A worker that answers as the test says. */
    private final class Script implements WorkerClient {

        private CallResult.Kind starts = CallResult.Kind.DONE;
        private CallResult.Kind renewals = CallResult.Kind.DONE;
        private List<RunProgress> running = List.of();

        private CallResult result(CallResult.Kind kind) {
            boolean heard = kind != CallResult.Kind.UNKNOWN;
            return new CallResult(kind, heard ? clock.nowMillis() : -1, "scripted");
        }

        private static long delay(CallResult.Kind kind, long waitMillis) {
            return kind == CallResult.Kind.UNKNOWN ? CALL_MILLIS + waitMillis : 10;
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long until, Fence under) {
            return RunnerFixtures.completeLater(loop, delay(starts, 0), result(starts));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence under) {
            return RunnerFixtures.completeLater(loop, 10, result(CallResult.Kind.DONE));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to, long until, Fence under, long recorded, long waitMillis) {
            return RunnerFixtures.completeLater(
                    loop,
                    Math.max(delay(renewals, waitMillis), waitMillis),
                    new RenewalResult(result(renewals), to.incarnation(), running, List.of()));
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
                        () -> clock.nowMillis() + 6000,
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

    @Test
    public void anEarlierListDoesNotMakeAnEndedRunReportedAsGone() {
        // The start is done, but its answer is lost, as are those to the next looks at the worker.
        worker.starts = CallResult.Kind.UNKNOWN;
        worker.renewals = CallResult.Kind.UNKNOWN;
        order();
        loop.advance(CALL_MILLIS);
        // The run has ended meanwhile, so that the worker turns the start away as an old one.
        worker.starts = CallResult.Kind.SUPERSEDED;
        loop.advance(800);
        assertEquals(List.of(), supervisor.createReport().gone());
    }

    @Test
    public void aRefusalIsNotReportedWhileAStartUnderAnOlderFenceMayBeInProgress() {
        worker.starts = CallResult.Kind.UNKNOWN;
        order();
        loop.advance(CALL_MILLIS + 20);
        // Given anew under the next fence; the worker is unwell and has taken note of no call.
        fence = Fence.of(fence.getEpoch(), fence.getGeneration().next());
        supervisor.fenceRaised();
        worker.starts = CallResult.Kind.UNWELL;
        worker.renewals = CallResult.Kind.UNWELL;
        order();
        loop.advance(50);
        assertEquals(List.of(), supervisor.createReport().refused());
    }

    @Test
    public void aRunOfAnEarlierAgentProcessIsNotReportedAsRefusedByAnUnhealthyWorker() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 10, 0));
        loop.advance(1000);
        worker.starts = CallResult.Kind.UNWELL;
        order();
        loop.advance(50);
        assertEquals(List.of(), supervisor.createReport().refused());
    }
}
