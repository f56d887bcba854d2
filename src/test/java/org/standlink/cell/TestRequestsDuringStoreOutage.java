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
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.LeaseGeneration;
import org.standlink.job.JobState;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.Topic;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests the answers to callers during an outage of the store that lasts longer than a caller waits.
 *
 * <p>Guards against reporting an unknown outcome for jobs that no append has contained. An append
 * is in flight when the store becomes unresponsive, and later submissions wait for the next append
 * until the entry node times out. The leader knows that they are not in any append and has to
 * report them as not done. Each test makes the store unresponsive between two submissions.
 */
public class TestRequestsDuringStoreOutage {

    /** The length of an outage after which new requests are refused, in milliseconds. */
    private static final long OUTAGE_MILLIS = CommitQueue.STALL_TIMEOUT_MILLIS + 200;

    private static final RunId RUN_IN_APPEND = new RunId(TaskName.parse("a.0.0.0"), 1);
    private static final RunId RUN_NOT_IN_APPEND = new RunId(TaskName.parse("b.0.0.0"), 1);

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private JobCellLeader leader;
    private AgentGrant grant = new AgentGrant(Epoch.NONE, LeaseGeneration.NONE, 0, 0, List.of());
    private long sequence;

    @BeforeEach
    public void setUpLeader() {
        leader = CellFixtures.startLeader(1, store, clock, loop);
        report();
        report();
    }

    private void report() {
        WorkerReport workerReport =
                new WorkerReport(
                        CellFixtures.worker("i-1", 8),
                        true,
                        false,
                        true,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        true,
                        List.of());
        leader.handle(
                agent,
                1000 + ++sequence,
                new AgentReport(
                        "node",
                        "a:1",
                        Incarnation.of(1),
                        sequence,
                        grant.epoch(),
                        grant.generation(),
                        false,
                        List.of(workerReport),
                        List.of(),
                        List.of()));
        loop.advance(10);
        grant = (AgentGrant) agent.findAnswer(1000 + sequence);
    }

    private void submit(long call, String job) {
        leader.handle(entry, call, new SubmitJob(CellFixtures.job(job, 1)));
        loop.advance(20);
    }

    /** Submits a job that is in the append in flight, and another one that waits for the next. */
    private void failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode mode) {
        store.setMode(mode);
        submit(1, "a");
        submit(2, "b");
        assertNull(entry.findAnswer(1));
        assertNull(entry.findAnswer(2));
    }

    private JobAnswer.Result result(long call) {
        JobAnswer answer = (JobAnswer) entry.findAnswer(call);
        return answer == null ? null : answer.result();
    }

    private boolean isPersisted(String job) {
        return store.getRecords(Topic.CELL).stream()
                .anyMatch(record -> record.key().endsWith("/" + job));
    }

    /** Lists the runs that were ordered; an agent ignores repeated orders. */
    private Set<String> listOrderedRuns() {
        Set<String> runs = new TreeSet<>();
        agent.starts().forEach(run -> runs.add(run.toString()));
        return runs;
    }

    // -----------------------------------------------------------------------
    @Test
    public void changeInNoAppendIsRefusedOnceTheStoreIsUnresponsive() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.ANSWERS_LOST);
        loop.advance(OUTAGE_MILLIS);
        assertEquals(JobAnswer.Result.NOT_DONE, result(2));
        assertNull(entry.findAnswer(1), "it may have been stored");
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(1000);
        assertFalse(isPersisted("b"), "a refused job is never stored");
        assertEquals(Set.of(RUN_IN_APPEND.toString()), listOrderedRuns());
    }

    @Test
    public void changeInAnAppendIsAnsweredAsSoonAsTheStoreAnswers() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        // The caller submits the job again under the same identifier.
        submit(3, "a");
        assertNull(entry.findAnswer(3), "it may still be answered within the caller's deadline");
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(JobAnswer.Result.DONE, result(1));
        assertEquals(JobAnswer.Result.DONE, result(3));
    }

    @Test
    public void refusedJobCanBeSubmittedAgainAndRunsOnce() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        report();
        submit(4, "b");
        loop.advance(300);
        assertEquals(JobAnswer.Result.DONE, result(4));
        assertEquals(
                Set.of(RUN_IN_APPEND.toString(), RUN_NOT_IN_APPEND.toString()), listOrderedRuns());
    }

    @Test
    public void refusedJobOccupiesNoCapacity() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        report();
        // The worker has 8 cores and runs one task of one core.
        leader.handle(entry, 5, new SubmitJob(CellFixtures.job("c", 7)));
        loop.advance(100);
        assertEquals(8, listOrderedRuns().size());
    }

    @Test
    public void jobCancelledDuringTheOutageIsNotRefused() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        leader.handle(entry, 6, new CancelJob(JobId.parse("b"), "q"));
        loop.advance(OUTAGE_MILLIS);
        assertNull(entry.findAnswer(6), "a cancel takes effect only once it is stored");
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(JobState.CANCELLED, ((JobAnswer) entry.findAnswer(6)).state());
    }

    @Test
    public void cancelDuringTheOutageIsRefusedAndMayBeRepeated() {
        submit(1, "a");
        assertEquals(JobAnswer.Result.DONE, result(1));
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(2 * OUTAGE_MILLIS);
        leader.handle(entry, 8, new CancelJob(JobId.parse("a"), "q"));
        loop.advance(20);
        assertEquals(JobAnswer.Result.NOT_DONE, result(8));
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(List.of(), agent.stops());
        leader.handle(entry, 9, new CancelJob(JobId.parse("a"), "q"));
        loop.advance(20);
        assertEquals(JobState.CANCELLED, ((JobAnswer) entry.findAnswer(9)).state());
        assertEquals(List.of(RUN_IN_APPEND), agent.stops());
    }

    @Test
    public void refusedJobIsNotFound() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        leader.handle(entry, 7, new JobQuery(JobId.parse("b"), "q"));
        loop.advance(20);
        assertEquals(JobAnswer.Result.NO_SUCH_JOB, result(7));
    }

    // -----------------------------------------------------------------------
    @Test
    public void replacedLeaderRedirectsItsCallers() {
        failStoreBetweenTwoSubmissions(FakeKeyedStore.Mode.DOWN);
        store.setMode(FakeKeyedStore.Mode.UP);
        store.fence(Topic.CELL, Epoch.of(2));
        loop.advance(300);
        assertEquals(JobAnswer.Result.UNKNOWN, result(1));
        assertEquals(new LeaderNotice(Epoch.of(1), ""), entry.findAnswer(2));
    }
}
