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
import org.standlink.FakeLoop;
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
 * Tests what callers are told while the store takes nothing: the load of an outage that is longer
 * than a caller waits.
 *
 * <p>Seen: callers whose jobs had reached no worker were told that the outcome is not known, for as
 * long as the outage lasted. How it came about: an append was under way when the store fell silent;
 * what came after it waited for the next one until the entry gave up. Cause: the leader knew which
 * jobs no append had carried, and did not say so. Proof: each test lets the store fall silent
 * between two submissions.
 */
public class TestRequestsDuringStoreOutage {

    /** Longer than the store may be silent before new work is refused, in milliseconds. */
    private static final long OUTAGE_MILLIS = CommitQueue.STALL_TIMEOUT_MILLIS + 200;

    private static final RunId CARRIED = new RunId(TaskName.parse("a.0.0.0"), 1);
    private static final RunId WAITING = new RunId(TaskName.parse("b.0.0.0"), 1);

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private JobCellLeader leader;
    private AgentGrant grant = new AgentGrant(Epoch.NONE, LeaseGeneration.NONE, 0, 0, List.of());
    private long sequence;

    @BeforeEach
    public void lead() {
        leader = CellFixtures.startLeader(1, store, clock, loop);
        report();
        report();
    }

    private void report() {
        WorkerReport part =
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
                        true);
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
                        List.of(part),
                        List.of()));
        loop.advance(10);
        grant = (AgentGrant) agent.findAnswer(1000 + sequence);
    }

    private void submit(long call, String job) {
        leader.handle(entry, call, new SubmitJob(CellFixtures.job(job, 1)));
        loop.advance(20);
    }

    /** One job is in the append under way, another one waits for the next. */
    private void loseStoreBetweenTwoJobs(FakeKeyedStore.Mode how) {
        store.setMode(how);
        submit(1, "a");
        submit(2, "b");
        assertNull(entry.findAnswer(1));
        assertNull(entry.findAnswer(2));
    }

    private JobAnswer.Result result(long call) {
        JobAnswer answer = (JobAnswer) entry.findAnswer(call);
        return answer == null ? null : answer.result();
    }

    private boolean isKept(String job) {
        return store.records(Topic.CELL).stream().anyMatch(one -> one.key().endsWith("/" + job));
    }

    /** Lists the runs that were ordered; an agent takes a repeated order for the same. */
    private Set<String> ordered() {
        Set<String> runs = new TreeSet<>();
        agent.starts().forEach(run -> runs.add(run.toString()));
        return runs;
    }

    // -----------------------------------------------------------------------
    @Test
    public void changeInNoAppendIsRefusedOnceTheStoreIsUnresponsive() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.LOST);
        loop.advance(OUTAGE_MILLIS);
        assertEquals(JobAnswer.Result.NOT_DONE, result(2));
        assertNull(entry.findAnswer(1), "it may have been kept");
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(1000);
        assertFalse(isKept("b"), "what was refused is never kept");
        assertEquals(Set.of(CARRIED.toString()), ordered());
    }

    @Test
    public void changeInAnAppendIsAnsweredAsSoonAsTheStoreAnswers() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        // The caller asks again under the same identifier.
        submit(3, "a");
        assertNull(entry.findAnswer(3), "it may still be told within its time");
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(JobAnswer.Result.DONE, result(1));
        assertEquals(JobAnswer.Result.DONE, result(3));
    }

    @Test
    public void refusedJobCanBeSubmittedAgainAndRunsOnce() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        report();
        submit(4, "b");
        loop.advance(300);
        assertEquals(JobAnswer.Result.DONE, result(4));
        assertEquals(Set.of(CARRIED.toString(), WAITING.toString()), ordered());
    }

    @Test
    public void refusedJobOccupiesNoCapacity() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
        loop.advance(OUTAGE_MILLIS);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        report();
        // The worker has 8 cores and one task of one core.
        leader.handle(entry, 5, new SubmitJob(CellFixtures.job("c", 7)));
        loop.advance(100);
        assertEquals(8, ordered().size());
    }

    @Test
    public void jobCancelledDuringTheOutageIsNotRefused() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
        leader.handle(entry, 6, new CancelJob(JobId.parse("b"), "q"));
        loop.advance(OUTAGE_MILLIS);
        assertNull(entry.findAnswer(6), "a cancel counts only once it is kept");
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
        assertEquals(List.of(CARRIED), agent.stops());
    }

    @Test
    public void refusedJobIsNotFound() {
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
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
        loseStoreBetweenTwoJobs(FakeKeyedStore.Mode.DOWN);
        store.setMode(FakeKeyedStore.Mode.UP);
        store.fence(Topic.CELL, Epoch.of(2));
        loop.advance(300);
        assertEquals(JobAnswer.Result.UNKNOWN, result(1));
        assertEquals(new LeaderNotice(Epoch.of(1), ""), entry.findAnswer(2));
    }
}
