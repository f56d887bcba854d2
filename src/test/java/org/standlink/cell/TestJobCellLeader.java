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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.job.Configuration;
import org.standlink.job.JobState;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.store.FakeKeyedStore;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.Message;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests that no run of a cancelled job starts or continues, whichever message or process is lost.
 *
 * <p>Guards against two failures. An order to stop was sent only once, though its channel may drop
 * it or its leader may be replaced, and the leader accepted a listed run as long as its task was
 * assigned to that worker. A leader denied jobs that it did not know without checking with the
 * store that it still leads.
 */
public class TestJobCellLeader {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final JobId JOB = JobId.parse("a");
    private static final RunId RUN = new RunId(TaskName.parse("a.0.0.0"), 1);
    private static final long HEARTBEAT_MILLIS = 500;

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private JobCellLeader leader;
    private long call;
    private final Map<Long, Fence> fences = new HashMap<>();
    private long sequence;

    @BeforeEach
    public void setUpLeader() {
        leader = startLeader(1);
    }

    private JobCellLeader startLeader(long epoch) {
        return CellFixtures.startLeader(epoch, store, clock, loop);
    }

    /** Sends a request and returns the answer after 50 ms, null if there is none by then. */
    private JobAnswer ask(JobCellLeader recipient, Message request) {
        call++;
        recipient.handle(entry, call, request);
        loop.advance(50);
        return (JobAnswer) entry.findAnswer(call);
    }

    private JobAnswer.Result cancel() {
        return ask(leader, new CancelJob(JOB, "q")).result();
    }

    /** Reports runs, their progress rising with each report, and ends; then lets 50 ms pass. */
    private void report(
            FakeChannel channel, long agentIncarnation, List<RunId> running, RunEnd... ended) {
        List<RunProgress> progress =
                running.stream().map(run -> new RunProgress(run, "", (int) sequence, 0)).toList();
        WorkerReport workerReport =
                new WorkerReport(
                        WORKER,
                        true,
                        false,
                        true,
                        progress,
                        List.of(ended),
                        List.of(),
                        List.of(),
                        List.of(),
                        true,
                        List.of());
        Fence reportedFence = fences.getOrDefault(agentIncarnation, Fence.NONE);
        reportOnce(channel, agentIncarnation, workerReport);
        if (!fences.getOrDefault(agentIncarnation, Fence.NONE).equals(reportedFence)) {
            // An agent reports again at once when it receives a new fence.
            reportOnce(channel, agentIncarnation, workerReport);
        }
    }

    private void reportOnce(FakeChannel channel, long agentIncarnation, WorkerReport workerReport) {
        Fence fence = fences.getOrDefault(agentIncarnation, Fence.NONE);
        call++;
        leader.handle(
                channel,
                call,
                new AgentReport(
                        "node",
                        "a:1",
                        Incarnation.of(agentIncarnation),
                        ++sequence,
                        fence.getEpoch(),
                        fence.getGeneration(),
                        false,
                        List.of(workerReport),
                        List.of(),
                        List.of()));
        loop.advance(50);
        if (channel.findAnswer(call) instanceof AgentGrant grant) {
            fences.put(agentIncarnation, Fence.of(grant.epoch(), grant.generation()));
        }
    }

    /** Starts a job of one task on the worker. */
    private void startRun() {
        report(agent, 1, List.of());
        assertEquals(JobAnswer.Result.DONE, ask(leader, submission()).result());
        assertEquals(List.of(RUN), agent.starts());
        report(agent, 1, List.of(RUN));
        assertEquals(List.of(), agent.stops());
    }

    private static SubmitJob submission() {
        return new SubmitJob(CellFixtures.job("a", 1));
    }

    // -----------------------------------------------------------------------
    @Test
    public void aCancelledRunIsStoppedBeforeTheNextReport() {
        startRun();
        assertEquals(JobAnswer.Result.DONE, cancel());
        assertEquals(List.of(RUN), agent.stops());
    }

    @Test
    public void aRunOfACancelledJobIsStoppedAgainAsLongAsItIsListed() {
        startRun();
        cancel();
        for (int i = 0; i < 3; i++) {
            agent.clear();
            loop.advance(HEARTBEAT_MILLIS);
            report(agent, 1, List.of(RUN));
            assertEquals(List.of(RUN), agent.stops());
        }
        agent.clear();
        report(agent, 1, List.of(), new RunEnd(1, RUN, RunEndKind.STOPPED, ""));
        assertEquals(List.of(), agent.stops());
    }

    @Test
    public void stopLostOnASilentChannelIsSentOverTheNextOne() {
        checkLostStopIsResent(FakeChannel.Mode.SILENT);
    }

    @Test
    public void stopRefusedByAClosedChannelIsSentOverTheNextOne() {
        checkLostStopIsResent(FakeChannel.Mode.CLOSED);
    }

    private void checkLostStopIsResent(FakeChannel.Mode mode) {
        startRun();
        agent.setMode(mode);
        cancel();
        FakeChannel next = new FakeChannel();
        report(next, 1, List.of());
        assertEquals(List.of(RUN), next.stops());
    }

    @Test
    public void newAgentOfTheSameWorkerReceivesTheStops() {
        startRun();
        agent.setMode(FakeChannel.Mode.SILENT);
        cancel();
        FakeChannel other = new FakeChannel();
        report(other, 2, List.of());
        assertEquals(List.of(RUN), other.stops());
        // A last report of the earlier agent must not prevent the stops from reaching the new one.
        agent.setMode(FakeChannel.Mode.OPEN);
        report(agent, 1, List.of());
        assertEquals(List.of(), agent.stops());
        other.clear();
        report(other, 2, List.of(RUN));
        assertEquals(List.of(RUN), other.stops());
    }

    /**
     * Guards against failing a job early after a power loss: one of its runs had failed and its
     * queue allowed four. A leader that took over 50 ms after its start had loaded its state but
     * not yet the configuration, and treated the queue as no longer configured.
     */
    @Test
    public void noTaskFailsPermanentlyBeforeTheConfigurationIsRead() {
        startRun();
        report(agent, 1, List.of(), new RunEnd(1, RUN, RunEndKind.FAILED, ""));
        RunId second = new RunId(RUN.task(), 2);
        assertTrue(agent.starts().contains(second));
        leader = CellFixtures.startLeader(2, store, clock, loop, () -> Configuration.NONE);
        FakeChannel next = new FakeChannel();
        report(next, 1, List.of(), new RunEnd(2, second, RunEndKind.STOPPED, ""));
        assertEquals(JobState.RUNNING, ask(leader, new JobQuery(JOB, "q")).state());
    }

    @Test
    public void taskOutOfAttemptsBeforeTheConfigurationWasReadIsNotStartedAfterwards() {
        startRun();
        report(agent, 1, List.of(), new RunEnd(1, RUN, RunEndKind.FAILED, ""));
        RunId second = new RunId(RUN.task(), 2);
        AtomicReference<Configuration> read = new AtomicReference<>(Configuration.NONE);
        leader = CellFixtures.startLeader(2, store, clock, loop, read::get);
        FakeChannel next = new FakeChannel();
        report(next, 1, List.of(), new RunEnd(2, second, RunEndKind.FAILED, ""));
        read.set(CellFixtures.CONFIGURATION);
        loop.advance(1000);
        report(next, 1, List.of());
        assertEquals(List.of(), next.starts());
        assertEquals(JobState.FAILED, ask(leader, new JobQuery(JOB, "q")).state());
    }

    @Test
    public void newLeaderStopsRunsThatThePreviousOneCancelled() {
        startRun();
        agent.setMode(FakeChannel.Mode.SILENT);
        cancel();
        leader = startLeader(2);
        FakeChannel next = new FakeChannel();
        report(next, 1, List.of());
        assertEquals(List.of(RUN), next.stops());
    }

    @Test
    public void lateRunOfACancelledJobIsStoppedAfterTheJobEnded() {
        startRun();
        cancel();
        report(agent, 1, List.of(), new RunEnd(1, RUN, RunEndKind.STOPPED, ""));
        for (int i = 0; i < 3; i++) {
            agent.clear();
            report(agent, 1, List.of(RUN));
            assertEquals(List.of(RUN), agent.stops());
        }
        leader = startLeader(2);
        agent.clear();
        report(agent, 1, List.of(RUN));
        assertEquals(List.of(RUN), agent.stops());
    }

    @Test
    public void jobCancelledWhileItIsBeingPersistedIsStoppedAfterItsStart() {
        report(agent, 1, List.of());
        store.setMode(FakeKeyedStore.Mode.DOWN);
        leader.handle(entry, 1, submission());
        loop.advance(50);
        leader.handle(entry, 2, new CancelJob(JOB, "q"));
        loop.advance(50);
        assertNull(entry.findAnswer(2));
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(JobState.CANCELLED, ((JobAnswer) entry.findAnswer(2)).state());
        assertEquals(agent.starts(), agent.stops());
        agent.clear();
        report(agent, 1, List.of());
        assertEquals(List.of(), agent.starts());
    }

    // -----------------------------------------------------------------------
    @Test
    public void replacedLeaderDoesNotDenyAJob() {
        JobCellLeader next = startLeader(2);
        assertEquals(JobAnswer.Result.DONE, ask(next, submission()).result());
        JobAnswer answer = ask(leader, new CancelJob(JOB, "q"));
        assertNull(answer, () -> "the caller would take this for a completed cancel: " + answer);
    }

    @Test
    public void cancelIsNotDeniedWhileTheStoreIsUnavailable() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(2000);
        assertEquals(JobAnswer.Result.NOT_DONE, cancel());
    }

    @Test
    public void queryIsNotDeniedWhileTheStoreIsUnavailable() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(2000);
        assertEquals(JobAnswer.Result.NOT_DONE, ask(leader, new JobQuery(JOB, "q")).result());
    }

    @Test
    public void jobCancelledBeforeItsSubmissionNeverRuns() {
        report(agent, 1, List.of());
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, cancel());
        assertEquals(JobState.CANCELLED, ask(leader, submission()).state());
        loop.advance(1000);
        assertEquals(List.of(), agent.starts());
        assertEquals(JobState.CANCELLED, ask(leader, new JobQuery(JOB, "q")).state());
    }

    @Test
    public void newLeaderKnowsOfCancelsBeforeTheSubmission() {
        cancel();
        leader = startLeader(2);
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, ask(leader, new JobQuery(JOB, "q")).result());
        report(agent, 1, List.of());
        ask(leader, submission());
        loop.advance(1000);
        assertEquals(List.of(), agent.starts());
    }

    @Test
    public void cancelledJobThatWasNeverSubmittedIsNotFound() {
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, cancel());
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, ask(leader, new JobQuery(JOB, "q")).result());
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, cancel());
        loop.advance(130_000);
        assertTrue(ask(leader, submission()).state() != JobState.CANCELLED);
    }
}
