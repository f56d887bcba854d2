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
import org.standlink.cell.CellTimes;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.policy.HarmTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/**
 * Tests what an agent does with start calls that were not answered.
 *
 * <p>Seen: a run began on a worker that had started again under its id, beside the run that had
 * taken its place or after the task had ended. How it came about: a call was not answered and was
 * repeated after 650 ms, though the first one had been carried out; the worker crashed, and its
 * next incarnation, which had seen no fence, carried the other call out seconds later. Cause:
 * nobody knew that a call was open.
 */
public class TestOpenStarts {

    private static final long LEASE_MILLIS = 6000;
    private static final RunId RUN = RunnerFixtures.RUN;

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final Script worker = new Script();
    private final Fence fence = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private WorkerSupervisor supervisor;

    /** A worker that carries calls out, and answers them, as the test says. */
    private final class Script implements WorkerCalls {

        private boolean answersStarts = true;
        private boolean answersRenewals = true;
        private boolean carriesOut = true;
        private int starts;
        private final List<RunProgress> running = new ArrayList<>();

        private CallResult result(boolean answers) {
            CallResult.Kind kind = answers ? CallResult.Kind.DONE : CallResult.Kind.UNKNOWN;
            return new CallResult(kind, answers ? clock.nowMillis() : -1, "scripted");
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long until, Fence under) {
            starts++;
            if (carriesOut) {
                running.add(new RunProgress(order.run(), "", 0, 0));
            }
            return RunnerFixtures.later(loop, answersStarts ? 10 : 500, result(answersStarts));
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence under) {
            return RunnerFixtures.later(loop, 10, result(true));
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to, long until, Fence under, long recorded, long waitMillis) {
            return RunnerFixtures.later(
                    loop,
                    10 + waitMillis,
                    new RenewalResult(
                            result(answersRenewals), to.life(), List.copyOf(running), List.of()));
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence under) {
            return RunnerFixtures.later(loop, 10, result(true));
        }
    }

    @BeforeEach
    public void start() {
        supervisor = newSupervisor();
    }

    private WorkerSupervisor newSupervisor() {
        WorkerSupervisor made =
                new WorkerSupervisor(
                        RunnerFixtures.WORKER,
                        worker,
                        clock,
                        loop,
                        () -> clock.nowMillis() + LEASE_MILLIS,
                        () -> fence,
                        () -> {},
                        RunnerFixtures.NO_OBSERVER,
                        new HarmTable());
        made.start();
        loop.advance(100);
        return made;
    }

    private void order() {
        supervisor.order(
                new RunOrders(
                        fence.getEpoch(),
                        fence.getGeneration(),
                        RunnerFixtures.ID,
                        List.of(RunnerFixtures.startOrder()),
                        List.of(),
                        0));
    }

    private List<RunId> open() {
        return supervisor.report().open();
    }

    // -----------------------------------------------------------------------
    @Test
    public void anAnsweredStartIsNotOpen() {
        order();
        assertEquals(List.of(RUN), open(), "it is under way");
        loop.advance(100);
        assertEquals(List.of(), open());
    }

    @Test
    public void aStartThatWasCarriedOutWithoutAnAnswerIsNotRepeated() {
        worker.answersStarts = false;
        order();
        loop.advance(5000);
        assertEquals(1, worker.starts);
        assertEquals(List.of(), open(), "its only call was carried out");
    }

    @Test
    public void aStartThatWasNotCarriedOutIsRepeatedOnceAListHasShownIt() {
        worker.answersStarts = false;
        worker.carriesOut = false;
        order();
        worker.answersRenewals = false;
        loop.advance(3000);
        assertEquals(1, worker.starts, "no list has come");
        worker.answersStarts = true;
        worker.answersRenewals = true;
        worker.carriesOut = true;
        loop.advance(1000);
        assertEquals(2, worker.starts);
        assertEquals(List.of(RUN), open(), "the first call may still come");
        assertTrue(supervisor.isHigherFenceNeeded(), "a higher fence bars it");
    }

    @Test
    public void anOpenStartIsListedUntilItCannotBeAtWorkAnyMore() {
        worker.answersStarts = false;
        worker.carriesOut = false;
        order();
        worker.answersRenewals = false;
        loop.advance(LEASE_MILLIS + 2000);
        supervisor.voidIfLapsed();
        assertTrue(supervisor.report().lapsed());
        assertEquals(List.of(RUN), open());
        supervisor.reported(supervisor.report());
        loop.advance(CellTimes.OPEN_START_MILLIS - LEASE_MILLIS - 2100);
        assertEquals(List.of(RUN), open());
        loop.advance(200);
        assertEquals(List.of(), open());
    }

    @Test
    public void aRunThatIsListedIsNotCalledForOnceMore() {
        worker.running.add(new RunProgress(RUN, "", 10, 0));
        supervisor = newSupervisor();
        order();
        loop.advance(1000);
        assertEquals(0, worker.starts);
        assertFalse(supervisor.report().running().isEmpty());
    }
}
