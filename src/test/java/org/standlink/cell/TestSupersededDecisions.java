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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.AgentGrant;
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
public class TestSupersededDecisions {

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
    private JobCellLeader leader;
    private final Map<Long, Fence> fences = new HashMap<>();
    private long sequence;

    @BeforeEach
    public void begin() {
        leader = lead(1);
        report(agent, 1, part(WORKER, false, List.of(), List.of()));
        leader.handle(entry, 1, new SubmitJob(CellFixtures.job("a", 1)));
        loop.advance(50);
        assertEquals(List.of(RUN), agent.starts());
        report(elsewhere, 9, part(OTHER, false, List.of(), List.of()));
    }

    private JobCellLeader lead(long epoch) {
        return CellFixtures.startLeader(epoch, store, clock, loop);
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
                List.of(),
                true);
    }

    /** Reports, and once more if the answer names another fence than the report did. */
    private void report(FakeChannel from, long agentRun, WorkerReport part) {
        Fence named = fences.getOrDefault(agentRun, Fence.NONE);
        reportOnce(from, agentRun, part);
        if (!fences.getOrDefault(agentRun, Fence.NONE).equals(named)) {
            reportOnce(from, agentRun, part);
        }
    }

    private void reportOnce(FakeChannel from, long agentRun, WorkerReport part) {
        reportOnce(agentRun < 9 ? "node" : "elsewhere", from, agentRun, part);
    }

    private void reportOnce(String node, FakeChannel from, long agentRun, WorkerReport part) {
        Fence known = fences.getOrDefault(agentRun, Fence.NONE);
        AgentReport report =
                new AgentReport(
                        node,
                        "a:1",
                        Incarnation.of(agentRun),
                        ++sequence,
                        known.getEpoch(),
                        known.getGeneration(),
                        false,
                        List.of(part),
                        List.of());
        leader.handle(from, sequence, report);
        loop.advance(20);
        if (from.findAnswer(sequence) instanceof AgentGrant grant) {
            fences.put(agentRun, Fence.of(grant.epoch(), grant.generation()));
        }
    }

    @Test
    public void runRefusedWhileItsOrderWaitedForTheStoreIsNotOrdered() {
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
    public void delayedRefusalOfAnEarlierProcessIsIgnored() {
        FakeChannel present = new FakeChannel();
        report(present, 2, part(WORKER, false, List.of(), List.of()));
        report(present, 2, part(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, part(WORKER, false, List.of(), List.of(RUN)));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void delayedLapseOfAnEarlierProcessIsIgnored() {
        FakeChannel present = new FakeChannel();
        report(present, 2, part(WORKER, false, List.of(), List.of()));
        report(present, 2, part(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, part(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void delayedFirstReportOfAnEarlierProcessIsIgnored() {
        FakeChannel earlier = new FakeChannel();
        FakeChannel present = new FakeChannel();
        report(present, 3, part(WORKER, false, List.of(), List.of()));
        report(present, 3, part(WORKER, false, List.of(RUN), List.of()));
        // Also if the present one has not been heard for a while.
        loop.advance(2000);
        report(elsewhere, 9, part(OTHER, false, List.of(), List.of()));
        reportOnce(earlier, 2, part(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void delayedFirstReportOverALaterChannelDoesNotBlockTheCurrentProcess() {
        FakeChannel present = new FakeChannel();
        report(present, 3, part(WORKER, false, List.of(), List.of()));
        report(present, 3, part(WORKER, false, List.of(RUN), List.of()));
        // The way was cut while the earlier process connected: its channel is accepted only now.
        FakeChannel earlier = new FakeChannel();
        reportOnce(earlier, 2, part(WORKER, false, List.of(), List.of()));
        loop.advance(500);
        reportOnce(present, 3, part(WORKER, false, List.of(RUN), List.of()));
        assertTrue(present.findAnswer(sequence) instanceof AgentGrant, "the present one is heard");
    }

    @Test
    public void formerAgentOfAWorkerDoesNotReleaseItsRuns() {
        FakeChannel moved = new FakeChannel();
        // Once to be told the generation of its lease, and once to count.
        reportOnce("another machine", moved, 3, part(WORKER, false, List.of(RUN), List.of()));
        reportOnce("another machine", moved, 3, part(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, part(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), elsewhere.starts());
    }

    @Test
    public void delayedReportDoesNotRestoreAnEarlierIncarnation() {
        bringEarlierLifeBack();
    }

    @Test
    public void delayedReportDoesNotRestoreAnEarlierIncarnationAtANewLeader() {
        leader = lead(2);
        report(elsewhere, 9, part(OTHER, false, List.of(), List.of()));
        bringEarlierLifeBack();
    }

    private void bringEarlierLifeBack() {
        FakeChannel present = new FakeChannel();
        WorkerDescription next =
                new WorkerDescription(
                        WorkerIncarnation.parse("i-3@1000"),
                        WORKER.service(),
                        WORKER.address(),
                        WORKER.capacity(),
                        WORKER.hall(),
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
        reportOnce(agent, 1, part(WORKER, false, List.of(RUN), List.of()));
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
