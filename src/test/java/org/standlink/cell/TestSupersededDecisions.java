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
import org.standlink.FakeEventLoop;
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
 * Tests that a leader does not act on decisions and reports that have been superseded.
 *
 * <p>An order waits for the store, and its run may be abandoned meanwhile: the order must not be
 * sent then. A report of an earlier process of an agent may arrive after the current process has
 * received orders: it must not affect the runs of these orders.
 */
public class TestSupersededDecisions {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final WorkerDescription OTHER = CellFixtures.worker("i-2", 8);
    private static final RunId RUN = new RunId(TaskName.parse("a.0.0.0"), 1);
    private static final RunId NEXT = new RunId(TaskName.parse("a.0.0.0"), 2);

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private final FakeChannel otherAgent = new FakeChannel();
    private JobCellLeader leader;
    private final Map<Long, Fence> fences = new HashMap<>();
    private long sequence;

    @BeforeEach
    public void setUpLeaderAndRun() {
        leader = startLeader(1);
        report(agent, 1, workerReport(WORKER, false, List.of(), List.of()));
        leader.handle(entry, 1, new SubmitJob(CellFixtures.job("a", 1)));
        loop.advance(50);
        assertEquals(List.of(RUN), agent.starts());
        report(otherAgent, 9, workerReport(OTHER, false, List.of(), List.of()));
    }

    private JobCellLeader startLeader(long epoch) {
        return CellFixtures.startLeader(epoch, store, clock, loop);
    }

    private static WorkerReport workerReport(
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
                true,
                List.of());
    }

    /** Reports, and reports again if the answer names another fence than the report. */
    private void report(FakeChannel channel, long agentIncarnation, WorkerReport workerReport) {
        Fence reportedFence = fences.getOrDefault(agentIncarnation, Fence.NONE);
        reportOnce(channel, agentIncarnation, workerReport);
        if (!fences.getOrDefault(agentIncarnation, Fence.NONE).equals(reportedFence)) {
            reportOnce(channel, agentIncarnation, workerReport);
        }
    }

    private void reportOnce(FakeChannel channel, long agentIncarnation, WorkerReport workerReport) {
        reportOnce(
                agentIncarnation < 9 ? "node" : "elsewhere",
                channel,
                agentIncarnation,
                workerReport);
    }

    private void reportOnce(
            String node, FakeChannel channel, long agentIncarnation, WorkerReport workerReport) {
        Fence fence = fences.getOrDefault(agentIncarnation, Fence.NONE);
        AgentReport report =
                new AgentReport(
                        node,
                        "a:1",
                        Incarnation.of(agentIncarnation),
                        ++sequence,
                        fence.getEpoch(),
                        fence.getGeneration(),
                        false,
                        List.of(workerReport),
                        List.of(),
                        List.of());
        leader.handle(channel, sequence, report);
        loop.advance(20);
        if (channel.findAnswer(sequence) instanceof AgentGrant grant) {
            fences.put(agentIncarnation, Fence.of(grant.epoch(), grant.generation()));
        }
    }

    @Test
    public void runRefusedWhileItsOrderWaitedForTheStoreIsNotOrdered() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(300);
        FakeChannel next = new FakeChannel();
        // The channel is new, so all orders are to be sent again; this waits for the store.
        report(next, 1, workerReport(WORKER, false, List.of(), List.of()));
        report(next, 1, workerReport(WORKER, false, List.of(), List.of(RUN)));
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(600);
        assertEquals(List.of(NEXT), otherAgent.starts());
        assertFalse(next.starts().contains(RUN), () -> "ordered: " + next.starts());
    }

    @Test
    public void delayedRefusalOfAnEarlierProcessIsIgnored() {
        FakeChannel currentProcess = new FakeChannel();
        report(currentProcess, 2, workerReport(WORKER, false, List.of(), List.of()));
        report(currentProcess, 2, workerReport(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, workerReport(WORKER, false, List.of(), List.of(RUN)));
        loop.advance(100);
        assertEquals(List.of(), otherAgent.starts());
    }

    @Test
    public void delayedLapseOfAnEarlierProcessIsIgnored() {
        FakeChannel currentProcess = new FakeChannel();
        report(currentProcess, 2, workerReport(WORKER, false, List.of(), List.of()));
        report(currentProcess, 2, workerReport(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, workerReport(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), otherAgent.starts());
    }

    @Test
    public void delayedFirstReportOfAnEarlierProcessIsIgnored() {
        FakeChannel earlierProcess = new FakeChannel();
        FakeChannel currentProcess = new FakeChannel();
        report(currentProcess, 3, workerReport(WORKER, false, List.of(), List.of()));
        report(currentProcess, 3, workerReport(WORKER, false, List.of(RUN), List.of()));
        // This also holds if the current process has not reported for a while.
        loop.advance(2000);
        report(otherAgent, 9, workerReport(OTHER, false, List.of(), List.of()));
        reportOnce(earlierProcess, 2, workerReport(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), otherAgent.starts());
    }

    @Test
    public void delayedFirstReportOverALaterChannelDoesNotBlockTheCurrentProcess() {
        FakeChannel currentProcess = new FakeChannel();
        report(currentProcess, 3, workerReport(WORKER, false, List.of(), List.of()));
        report(currentProcess, 3, workerReport(WORKER, false, List.of(RUN), List.of()));
        // The earlier process connected during a partition: its channel is accepted only now.
        FakeChannel earlierProcess = new FakeChannel();
        reportOnce(earlierProcess, 2, workerReport(WORKER, false, List.of(), List.of()));
        loop.advance(500);
        reportOnce(currentProcess, 3, workerReport(WORKER, false, List.of(RUN), List.of()));
        assertTrue(
                currentProcess.findAnswer(sequence) instanceof AgentGrant,
                "the report of the current process is accepted");
    }

    @Test
    public void formerAgentOfAWorkerDoesNotReleaseItsRuns() {
        FakeChannel newChannel = new FakeChannel();
        // The first report obtains the generation of the lease, the second one is accepted.
        reportOnce(
                "another machine",
                newChannel,
                3,
                workerReport(WORKER, false, List.of(RUN), List.of()));
        reportOnce(
                "another machine",
                newChannel,
                3,
                workerReport(WORKER, false, List.of(RUN), List.of()));
        reportOnce(agent, 1, workerReport(WORKER, true, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(), otherAgent.starts());
    }

    @Test
    public void delayedReportDoesNotRestoreAnEarlierIncarnation() {
        deliverDelayedReportOfAnEarlierIncarnation();
    }

    @Test
    public void delayedReportDoesNotRestoreAnEarlierIncarnationAtANewLeader() {
        leader = startLeader(2);
        report(otherAgent, 9, workerReport(OTHER, false, List.of(), List.of()));
        deliverDelayedReportOfAnEarlierIncarnation();
    }

    private void deliverDelayedReportOfAnEarlierIncarnation() {
        FakeChannel currentProcess = new FakeChannel();
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
        // Another incarnation at the same address: the runs of the former one have ended.
        report(currentProcess, 2, workerReport(next, false, List.of(), List.of()));
        loop.advance(100);
        assertEquals(List.of(NEXT), otherAgent.starts());
        leader.handle(entry, 2, new SubmitJob(CellFixtures.job("b", 8)));
        loop.advance(50);
        List<RunId> ordered = currentProcess.starts();
        assertFalse(ordered.isEmpty());
        reportOnce(agent, 1, workerReport(WORKER, false, List.of(RUN), List.of()));
        loop.advance(100);
        List<RunId> starts = new ArrayList<>(agent.starts());
        starts.addAll(otherAgent.starts());
        starts.addAll(currentProcess.starts());
        for (RunId run : ordered) {
            RunId repeated = new RunId(run.task(), run.number() + 1);
            assertFalse(starts.contains(repeated), () -> repeated + " beside " + run);
        }
    }
}
