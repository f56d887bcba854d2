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
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/**
 * Tests that an agent reports a run as refused or gone only because of an answer to its latest
 * request.
 *
 * <p>A run that is reported as refused or gone is started elsewhere at once, under the next number.
 * So neither a list from before the worker rejected the start, nor a refusal while another start
 * may still be in progress, is a reason to report it.
 */
public class TestStaleAnswers {

    private static final long CALL_TIMEOUT_MILLIS = 500;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final ScriptedWorker worker = new ScriptedWorker();
    private Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private WorkerSupervisor supervisor;

    /** A worker that answers as set by the test. */
    private final class ScriptedWorker implements WorkerClient {

        private CallResult.Kind startResult = CallResult.Kind.DONE;
        private CallResult.Kind renewalResult = CallResult.Kind.DONE;
        private List<RunProgress> running = List.of();

        private CallResult result(CallResult.Kind kind) {
            boolean answered = kind != CallResult.Kind.UNKNOWN;
            return new CallResult(kind, answered ? clock.nowMillis() : -1, "scripted");
        }

        private static long delay(CallResult.Kind kind, long waitMillis) {
            return kind == CallResult.Kind.UNKNOWN ? CALL_TIMEOUT_MILLIS + waitMillis : 10;
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
            return RunnerFixtures.completeLater(loop, delay(startResult, 0), result(startResult));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
            return RunnerFixtures.completeLater(loop, 10, result(CallResult.Kind.DONE));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence fence,
                long recordedEnd,
                long waitMillis) {
            return RunnerFixtures.completeLater(
                    loop,
                    Math.max(delay(renewalResult, waitMillis), waitMillis),
                    new RenewalResult(result(renewalResult), to.incarnation(), running, List.of()));
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
        // The start is carried out, but its answer is lost, as are those to the next renewals.
        worker.startResult = CallResult.Kind.UNKNOWN;
        worker.renewalResult = CallResult.Kind.UNKNOWN;
        order();
        loop.advance(CALL_TIMEOUT_MILLIS);
        // The run has ended meanwhile, so the worker rejects the start as superseded.
        worker.startResult = CallResult.Kind.SUPERSEDED;
        loop.advance(800);
        assertEquals(List.of(), supervisor.createReport().gone());
    }

    @Test
    public void aRefusalIsNotReportedWhileAStartUnderAnOlderFenceMayBeInProgress() {
        worker.startResult = CallResult.Kind.UNKNOWN;
        order();
        loop.advance(CALL_TIMEOUT_MILLIS + 20);
        // Repeated under the next fence; the worker is unhealthy and has carried out no call.
        fence = Fence.of(fence.getEpoch(), fence.getGeneration().next());
        supervisor.fenceRaised();
        worker.startResult = CallResult.Kind.UNWELL;
        worker.renewalResult = CallResult.Kind.UNWELL;
        order();
        loop.advance(50);
        assertEquals(List.of(), supervisor.createReport().refused());
    }

    @Test
    public void aRunOfAnEarlierAgentProcessIsNotReportedAsRefusedByAnUnhealthyWorker() {
        worker.running = List.of(new RunProgress(RunnerFixtures.RUN, "", 10, 0));
        loop.advance(1000);
        worker.startResult = CallResult.Kind.UNWELL;
        order();
        loop.advance(50);
        assertEquals(List.of(), supervisor.createReport().refused());
    }
}
