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
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.job.JobState;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.Topic;

/** Tests that nothing takes effect before it was kept, whatever the store does. */
public class TestCommitQueue {

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final JobRegistry board = new JobRegistry();
    private final List<String> seen = new ArrayList<>();
    private final CommitQueue queue =
            new CommitQueue(
                    store,
                    Epoch.of(2),
                    List.of(board),
                    new LeaderAuthority(clock, clock::nowMillis),
                    loop,
                    loop,
                    () -> seen.add("fenced"));

    @Test
    public void effectsWaitWhileTheStoreIsDown() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(2000);
        assertTrue(seen.isEmpty());
        assertTrue(queue.isStalled());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(200);
        assertEquals(List.of("effect"), seen);
        assertFalse(queue.isStalled());
    }

    @Test
    public void anAppendWithoutAnswerCountsOnce() {
        store.setMode(FakeKeyedStore.Mode.LOST);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(1000);
        assertTrue(seen.isEmpty());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(200);
        assertEquals(List.of("effect"), seen);
        assertEquals(2, store.records(Topic.CELL).size());
    }

    @Test
    public void unansweredAppendIsSentAgain() {
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(100);
        assertTrue(seen.isEmpty());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(100);
        assertEquals(List.of("effect"), seen);
        assertEquals(2, store.records(Topic.CELL).size());
        loop.advance(1000);
        assertEquals(List.of("effect"), seen);
        assertEquals(2, store.records(Topic.CELL).size());
    }

    /**
     * Seen by reading: the leader asked on without a line until another one took over, since what
     * became of its append could not be read any more.
     */
    @Test
    public void anAppendWhoseHistoryIsDroppedEndsTheLeader() {
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(50);
        store.dropHistory();
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(300);
        assertEquals(List.of("fenced"), seen);
    }

    @Test
    public void callsInFlightAreBoundedWhileTheStoreDoesNotAnswer() {
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(5000);
        assertEquals(CommitQueue.MAX_CONCURRENT_CALLS, store.getAppends());
    }

    /**
     * Seen: leases ran out 850 ms after the store had come back. Cause: all calls that may be under
     * way were sent at once, and the next one only when all had timed out.
     */
    @Test
    public void nextCallReachesAStoreThatRecoversFromALongOutage() {
        store.failSilentCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        for (int silence = 0; silence < 3; silence++) {
            // Three moments of the same second.
            loop.advance(1330);
            assertTrue(seen.isEmpty());
        }
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(CommitQueue.RETRY_INTERVAL_MILLIS + 1);
        assertEquals(List.of("effect"), seen);
        assertEquals(2, store.records(Topic.CELL).size());
    }

    @Test
    public void nextCallReachesAStoreThatRecoversWhileAllCallsAreInFlight() {
        store.failSilentCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(650);
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(CommitQueue.RETRY_INTERVAL_MILLIS + 1);
        assertEquals(List.of("effect"), seen);
    }

    @Test
    public void callsToARefusingStoreAreLimitedInRate() {
        store.setMode(FakeKeyedStore.Mode.DOWN);
        board.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(1000);
        assertTrue(store.getAppends() <= 11, () -> store.getAppends() + " calls in a second");
    }

    /**
     * Seen: days of the simulated cell on which the store refuses after a silence took seconds, all
     * of them in calls of the store; here it was 5,010 calls in a second. Cause: with all but one
     * of the calls that may be under way unanswered, each refusal led to the next call at once.
     */
    @Test
    public void callsToAStoreThatRefusesAfterAnOutageAreLimitedInRate() {
        store.failSilentCallsAfter(1000, loop);
        store.setMode(FakeKeyedStore.Mode.SILENT);
        board.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(950);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        store.refuseAfter(1, loop);
        int before = store.getAppends();
        loop.advance(1000);
        int calls = store.getAppends() - before;
        assertTrue(calls <= 22, () -> calls + " calls in a second");
    }

    @Test
    public void callersSeeOnlyPersistedState() {
        JobEntry job = board.add(CellFixtures.job("a", 1));
        queue.startAppend();
        loop.advance(0);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        job.cancel();
        board.markChanged(job);
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
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("effect"));
        queue.startAppend();
        loop.advance(1000);
        assertEquals(List.of("fenced"), seen);
        assertTrue(store.records(Topic.CELL).isEmpty());
    }

    @Test
    public void heartbeatRecordIsWrittenWhenNothingElseIs() {
        clock.advance(CommitQueue.HEARTBEAT_MILLIS - 1);
        queue.startAppend();
        loop.advance(0);
        assertEquals(0, store.records(Topic.CELL).size());
        clock.advance(1);
        queue.startAppend();
        loop.advance(0);
        assertEquals(1, store.records(Topic.CELL).size());
    }

    @Test
    public void changesDuringAnAppendGoIntoTheNextOne() {
        board.add(CellFixtures.job("a", 1));
        queue.afterCommit(() -> seen.add("a"));
        queue.startAppend();
        board.add(CellFixtures.job("b", 1));
        queue.afterCommit(() -> seen.add("b"));
        queue.startAppend();
        assertTrue(seen.isEmpty());
        loop.advance(0);
        assertEquals(List.of("a", "b"), seen);
        assertEquals(4, store.records(Topic.CELL).size());
    }
}
