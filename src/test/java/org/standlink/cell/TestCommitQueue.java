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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.job.JobState;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.StoreLimits;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;

/** Tests that no effect runs before its changes are durable, whatever the store does. */
public class TestCommitQueue {

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final JobRegistry jobs = new JobRegistry();
    private final List<String> events = new ArrayList<>();
    private final CommitQueue queue = newQueue();

    private CommitQueue newQueue() {
        return new CommitQueue(
                store,
                new WriterId(Epoch.of(2), Incarnation.of(2)),
                List.of(jobs),
                new LeaderAuthority(clock, clock::nowMillis),
                loop,
                loop,
                () -> events.add("fenced"));
    }

    @Test
    public void effectsWaitWhileTheStoreIsDown() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(2000);
        assertTrue(events.isEmpty());
        assertTrue(queue.isStalled());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(200);
        assertEquals(List.of("effect"), events);
        assertFalse(queue.isStalled());
    }

    @Test
    public void anAppendWithoutAnswerCountsOnce() {
        store.setMode(FakeKeyedStore.Mode.ANSWERS_LOST);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(1000);
        assertTrue(events.isEmpty());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(200);
        assertEquals(List.of("effect"), events);
        assertEquals(2, store.getRecords(Topic.CELL).size());
    }

    @Test
    public void unansweredAppendIsSentAgain() {
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(100);
        assertTrue(events.isEmpty());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(100);
        assertEquals(List.of("effect"), events);
        assertEquals(2, store.getRecords(Topic.CELL).size());
        loop.advance(1000);
        assertEquals(List.of("effect"), events);
        assertEquals(2, store.getRecords(Topic.CELL).size());
    }

    /**
     * Guards against a leader that retries forever without a log line, until another one takes
     * over: the history that would show the outcome of its append has been dropped.
     */
    @Test
    public void anAppendWhoseHistoryIsDroppedEndsTheLeader() {
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(50);
        store.dropHistory();
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(List.of("fenced"), events);
    }

    @Test
    public void callsInFlightAreBoundedWhileTheStoreDoesNotAnswer() {
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(5000);
        assertEquals(CommitQueue.MAX_CONCURRENT_CALLS, store.getAppendCount());
    }

    /**
     * Guards against leases expiring after a recovery of the store, as seen 850 ms after one: all
     * calls that may be in flight were sent at once, and the next one only after all had timed out.
     */
    @Test
    public void nextCallReachesAStoreThatRecoversFromALongOutage() {
        store.failUnansweredCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        for (int outage = 0; outage < 3; outage++) {
            // Calls time out after 1000 ms, so each of the three passes ends at another phase.
            loop.advance(1330);
            assertTrue(events.isEmpty());
        }
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(RepetitionInterval.MIN_MILLIS + 1);
        assertEquals(List.of("effect"), events);
        assertEquals(2, store.getRecords(Topic.CELL).size());
    }

    @Test
    public void nextCallReachesAStoreThatRecoversWhileAllCallsAreInFlight() {
        store.failUnansweredCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(650);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(RepetitionInterval.MIN_MILLIS + 1);
        assertEquals(List.of("effect"), events);
    }

    @Test
    public void callsToARefusingStoreAreLimitedInRate() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        jobs.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(1000);
        assertTrue(
                store.getAppendCount() <= 11, () -> store.getAppendCount() + " calls in a second");
    }

    /**
     * Guards against a retry loop without pause when the store refuses after an outage, 5,010 calls
     * in a second in this test: with all but one of the calls that may be in flight unanswered,
     * each refusal led to the next call at once. Simulated days with such an outage took seconds,
     * all of them spent in these calls.
     */
    @Test
    public void callsToAStoreThatRefusesAfterAnOutageAreLimitedInRate() {
        store.failUnansweredCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        jobs.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(950);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        store.setRefusalDelay(1, loop);
        int callsBefore = store.getAppendCount();
        loop.advance(1000);
        int calls = store.getAppendCount() - callsBefore;
        assertTrue(calls <= 22, () -> calls + " calls in a second");
    }

    @Test
    public void callersSeeOnlyPersistedState() {
        JobEntry job = jobs.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(0);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        job.cancel();
        jobs.markChanged(job);
        queue.startAppend();
        loop.advance(1000);
        assertEquals(JobState.CANCELLED, job.getState());
        assertEquals(JobState.QUEUED, job.getPersistedState());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(200);
        assertEquals(JobState.CANCELLED, job.getPersistedState());
    }

    @Test
    public void newerEpochEndsTheQueue() {
        store.fence(Topic.CELL, Epoch.of(3));
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("effect"));
        queue.startAppend();
        loop.advance(1000);
        assertEquals(List.of("fenced"), events);
        assertTrue(store.getRecords(Topic.CELL).isEmpty());
    }

    @Test
    public void heartbeatRecordIsWrittenWhenNothingElseIs() {
        clock.advance(CommitQueue.HEARTBEAT_MILLIS - 1);
        queue.startAppend();
        loop.advance(0);
        assertEquals(0, store.getRecords(Topic.CELL).size());
        clock.advance(1);
        queue.startAppend();
        loop.advance(0);
        assertEquals(1, store.getRecords(Topic.CELL).size());
    }

    @Test
    public void changesDuringAnAppendGoIntoTheNextOne() {
        jobs.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> events.add("a"));
        queue.startAppend();
        jobs.add(CellFixtures.job("b", 1));
        queue.afterCommit(() -> events.add("b"));
        queue.startAppend();
        assertTrue(events.isEmpty());
        loop.advance(0);
        assertEquals(List.of("a", "b"), events);
        assertEquals(4, store.getRecords(Topic.CELL).size());
    }

    /**
     * Guards against leaders that repeat for ever an append that the store refuses for its size:
     * many jobs changed at once.
     */
    @Test
    public void changesThatExceedOneCallAreAppendedInSeveral() {
        store.setLimits(new StoreLimits(1000, 1000));
        CommitQueue divided = newQueue();
        for (int i = 1; i <= 50; i++) {
            jobs.add(CellFixtures.job(String.format("%016x", i), 1));
        }
        divided.afterCommit(() -> events.add("effect"));
        divided.startAppend();
        loop.advance(1000);
        assertEquals(List.of("effect"), events);
        assertEquals(50, restore().getJobs().size());
    }

    /** Guards against a job of which a new leader knows the definition, and no state. */
    @Test
    public void leaderAfterPartOfTheAppendsKnowsWholeJobsOnly() {
        store.setLimits(new StoreLimits(1000, 1000));
        CommitQueue divided = newQueue();
        for (int i = 1; i <= 50; i++) {
            jobs.add(CellFixtures.job(String.format("%016x", i), 1));
        }
        divided.afterCommit(() -> events.add("effect"));
        divided.startAppend();
        divided.close();
        loop.advance(1000);
        assertEquals(List.of(), events);
        JobRegistry next = restore();
        assertTrue(next.getJobs().size() < 50);
        next.getJobs().forEach(job -> assertEquals(1, job.listReadyTasks(0).size()));
        assertTrue(next.hasChanges(), "definitions without a state are removed");
    }

    private JobRegistry restore() {
        JobRegistry restored = new JobRegistry();
        restored.restore(store.getRecords(Topic.CELL));
        return restored;
    }

    /**
     * Guards against a leader behind a thin link that never completes a large append: a copy of it
     * was sent every 100 ms, and the copies shared the link.
     */
    @Test
    public void largeAppendIsNotRepeatedWhileItMayBeOnItsWay() {
        store.setLimits(new StoreLimits(1_000_000, 1_000_000));
        CommitQueue large =
                new CommitQueue(
                        store,
                        new WriterId(Epoch.of(2), Incarnation.of(2)),
                        List.of(new LargeChange()),
                        new LeaderAuthority(clock, clock::nowMillis),
                        loop,
                        loop,
                        () -> events.add("fenced"));
        store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
        large.startAppend();
        loop.advance(1900);
        assertEquals(1, store.getAppendCount(), "500 kB take 2 s at 2 Mbit/s");
        loop.advance(200);
        assertEquals(2, store.getAppendCount());
    }

    private CommitQueue otherQueue(Incarnation process, JobRegistry source) {
        CommitQueue other =
                new CommitQueue(
                        store,
                        new WriterId(Epoch.of(2), process),
                        List.of(source),
                        new LeaderAuthority(clock, clock::nowMillis),
                        loop,
                        loop,
                        () -> events.add("other fenced"));
        return other;
    }

    /**
     * Appends a job by another writer of the same epoch, which must not take it for durable.
     *
     * @param readAgain whether the other writer has read the state after the first one's append
     */
    private void assertSharedEpochIsNoticed(Incarnation process, boolean readAgain) {
        jobs.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(0);
        JobRegistry otherJobs = new JobRegistry();
        CommitQueue other = otherQueue(process, otherJobs);
        other.setTopicEnd(readAgain ? store.getRecords(Topic.CELL).size() : 0);
        otherJobs.add(CellFixtures.job("b", 1));
        other.afterCommit(() -> events.add("other effect"));
        other.startAppend();
        StandlinkException shared =
                assertThrows(StandlinkException.class, () -> loop.advance(1000));
        assertEquals(ErrorCode.EPOCH_SHARED, shared.getCode());
        loop.advance(1000);
        assertEquals(List.of(), events);
    }

    /**
     * Guards against accepted jobs that are lost when an epoch has two leaders: the store gave the
     * first answer to an append of the other one again, as both numbered their appends alike.
     */
    @Test
    public void answerToAnAppendOfAnotherWriterIsNotTakenForItsOwn() {
        assertSharedEpochIsNoticed(Incarnation.of(2), true);
    }

    /** The same for two leaders that have read the same state, whose appends end alike. */
    @Test
    public void writersOfOneEpochNumberTheirAppendsDifferently() {
        assertSharedEpochIsNoticed(Incarnation.of(3), false);
    }

    /** A state whose first change is large. */
    private static final class LargeChange implements ChangeSource {

        private boolean changed = true;

        @Override
        public boolean hasChanges() {
            return changed;
        }

        @Override
        public List<KeyedRecord> takeChanges() {
            changed = false;
            return List.of(new KeyedRecord("large", new byte[500_000]));
        }

        @Override
        public void markPersisted() {}
    }
}
