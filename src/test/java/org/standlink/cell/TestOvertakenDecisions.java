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
package org.standlink.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.AgentReport;
import org.standlink.wire.StartRefusal;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests that a leader acts on nothing that has been overtaken by what it decided or heard since.
 *
 * <p>An order waits for the store, and the run may be given up meanwhile: it is not to be sent any
 * more. A report of an earlier process of an agent may arrive when the present one has been told
 * its orders: it says nothing of the runs that these brought.
 */
public class TestOvertakenDecisions {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final WorkerDescription OTHER = CellFixtures.worker("i-2", 8);
    private static final RunId RUN = new RunId(TaskName.parse("a.0.0.0"), 1);
    private static final RunId NEXT = new RunId(TaskName.parse("a.0.0.0"), 2);

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private final FakeChannel elsewhere = new FakeChannel();
    private CellLeader leader;
    private long sequence;

    @BeforeEach
    public void begin() {
        leader =
                new CellLeader(
                        Epoch.of(1),
                        store,
                        new CellTimes(6000, 120_000),
                        clock,
                        clock::nowMillis,
                        () -> CellFixtures.CONFIGURATION,
                        loop,
                        () -> {});
        leader.start();
        loop.advance(20);
        report(agent, 1, part(WORKER, false, List.of(), List.of()));
        leader.handle(entry, 1, new SubmitJob(CellFixtures.job("a", 1)));
        loop.advance(50);
        assertEquals(List.of(RUN), agent.starts());
        report(elsewhere, 9, part(OTHER, false, List.of(), List.of()));
    }

    private static WorkerReport part(
            WorkerDescription worker, boolean lapsed, List<RunId> running, List<RunId> refused) {
        return new WorkerReport(
                worker,
                !lapsed,
                lapsed,
                true,
                running.stream().map(run -> new RunProgress(run, "", 10, 0)).toList(),
                List.of(),
                refused.stream().map(run -> new StartRefusal(run, "503", true)).toList(),
                List.of(),
                List.of());
    }

    private void report(FakeChannel from, long agentRun, WorkerReport part) {
        AgentReport report =
                new AgentReport(
                        "node-" + part.worker().id(),
                        "a:1",
                        Incarnation.of(agentRun),
                        ++sequence,
                        Epoch.of(1),
                        LeaseGeneration.of(1),
                        false,
                        List.of(part),
                        List.of());
        leader.handle(from, sequence, report);
        loop.advance(20);
    }

    @Test
    public void aRunThatWasRefusedWhileItsOrderWaitedForTheStoreIsNotOrdered() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(300);
        FakeChannel next = new FakeChannel();
        // The agent's channel is a new one, so all is to be told again; this waits for the store.
        report(next, 1, part(WORKER, false, List.of(), List.of()));
        report(next, 1, part(WORKER, false, List.of(), List.of(RUN)));
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(600);
        assertEquals(List.of(NEXT), elsewhere.starts());
        assertFalse(next.starts().contains(RUN), () -> "ordered: " + next.starts());
    }

    @Test
    public void aLateRefusalOfAnEarlierProcessSaysNothingOfWhatThePresentOneWasTold() {
        FakeChannel present = new FakeChannel();
        report(present, 2, part(WORKER, false, List.of(), List.of()));
        report(present, 2, part(WORKER, false, List.of(RUN), List.of()));
        report(agent, 1, part(WORKER, false, List.of(), List.of(RUN)));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void aLateLapseOfAnEarlierProcessSaysNothingOfWhatThePresentOneWasTold() {
        FakeChannel present = new FakeChannel();
        report(present, 2, part(WORKER, false, List.of(), List.of()));
        report(present, 2, part(WORKER, false, List.of(RUN), List.of()));
        report(agent, 1, part(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void aLateReportOfAnEarlierProcessDoesNotBringAnEarlierLifeBack() {
        FakeChannel present = new FakeChannel();
        WorkerDescription next =
                new WorkerDescription(
                        WorkerId.parse("i-3"),
                        WORKER.service(),
                        WORKER.address(),
                        WORKER.capacity(),
                        WORKER.labels(),
                        false,
                        0);
        // Another life at the same address; what was at work in the life before is over.
        report(present, 2, part(next, false, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(NEXT), elsewhere.starts());
        leader.handle(entry, 2, new SubmitJob(CellFixtures.job("b", 8)));
        loop.advance(50);
        List<RunId> told = present.starts();
        assertFalse(told.isEmpty());
        report(agent, 1, part(WORKER, false, List.of(RUN), List.of()));
        loop.advance(100);
        List<RunId> starts = new ArrayList<>(agent.starts());
        starts.addAll(elsewhere.starts());
        starts.addAll(present.starts());
        for (RunId run : told) {
            RunId again = new RunId(run.task(), run.number() + 1);
            assertFalse(starts.contains(again), () -> again + " beside " + run);
        }
    }
}
