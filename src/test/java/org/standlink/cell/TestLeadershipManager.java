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

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.admission.AdmissionListener;
import org.standlink.election.Claim;
import org.standlink.election.ClaimWriter;
import org.standlink.election.LeaderLink;
import org.standlink.job.EvacuatedHalls;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.AppendCondition;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.SubmitJob;

/** Tests that a process whose leader has failed vacates its claim, so that another can lead. */
public class TestLeadershipManager {

    private static final Claim CLAIM = new Claim(Epoch.of(1), "10.0.0.1:1", Incarnation.of(1));
    private static final Claim NEXT_CLAIM = new Claim(Epoch.of(2), "10.0.0.2:1", Incarnation.of(2));

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final LeaderLink link = new LeaderLink(loop, (from, call, message) -> {}, clock);
    private boolean clockThrows;

    /** The offset up to which the process has read the claims. */
    private long claimsRead;

    private final LeadershipManager manager =
            new LeadershipManager(
                    store,
                    new CellTimes(6000, 120_000),
                    ContentionOptions.NONE,
                    AdmissionListener.NONE,
                    OrderMetrics.NONE,
                    this::readClock,
                    loop,
                    Incarnation.of(1),
                    new ClaimWriter(store, () -> claimsRead),
                    link,
                    () -> EvacuatedHalls.NONE);

    private long readClock() {
        if (clockThrows) {
            throw new IllegalStateException("on purpose");
        }
        return clock.nowMillis();
    }

    private void read(Claim claim) {
        manager.applyClaim(claim);
        claimsRead++;
    }

    private void becomeLeader() {
        store.getRecords(Topic.CLAIMS).add(CLAIM.toRecord());
        read(CLAIM);
        loop.advance(50);
        manager.handle(entry, 1, new SubmitJob(CellFixtures.job("a", 1)));
        loop.advance(50);
        assertTrue(entry.findAnswer(1) != null, "the process leads");
    }

    private Claim newestClaim() {
        List<KeyedRecord> claims = store.getRecords(Topic.CLAIMS);
        return Claim.of(claims.get(claims.size() - 1));
    }

    private void failClockFor(long millis) {
        clockThrows = true;
        loop.advance(millis);
        clockThrows = false;
    }

    @Test
    public void claimOfAFailedLeaderIsVacated() {
        becomeLeader();
        failClockFor(500);
        assertEquals(Epoch.of(1), newestClaim().epoch());
        assertFalse(newestClaim().isHeld());
        manager.handle(entry, 2, new SubmitJob(CellFixtures.job("b", 1)));
        loop.advance(50);
        assertTrue(
                entry.findAnswer(2) instanceof LeaderNotice,
                "callers are redirected to the leader");
    }

    @Test
    public void claimIsVacatedOnceTheStoreIsAvailableAgain() {
        becomeLeader();
        store.setMode(FakeKeyedStore.Mode.DOWN);
        failClockFor(500);
        loop.advance(3000);
        assertTrue(newestClaim().isHeld());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(1000);
        assertFalse(newestClaim().isHeld());
    }

    @Test
    public void claimOfTheNextLeaderIsNotVacated() {
        becomeLeader();
        store.setMode(FakeKeyedStore.Mode.DOWN);
        failClockFor(500);
        store.setMode(FakeKeyedStore.Mode.UP);
        store.getRecords(Topic.CLAIMS).add(NEXT_CLAIM.toRecord());
        read(NEXT_CLAIM);
        loop.advance(3000);
        assertEquals(NEXT_CLAIM, newestClaim());
    }

    @Test
    public void claimIsVacatedByALeaderThatStopsInOrder() {
        becomeLeader();
        manager.resign(1000);
        assertEquals(CLAIM.resigned(), newestClaim());
    }

    /**
     * Guards against accepted jobs that are lost after an epoch was claimed twice: a leader that
     * had not read the claim of its successor wrote its resignation behind it, and a process that
     * started then took the leadership for vacant since the older epoch.
     */
    @Test
    public void resignationDoesNotFollowAClaimThatWasNotRead() {
        becomeLeader();
        store.getRecords(Topic.CLAIMS).add(NEXT_CLAIM.toRecord());
        assertTrue(manager.resign(1000).isCompletedExceptionally());
        assertEquals(NEXT_CLAIM, newestClaim());
    }

    /** The same for the resignation of a leader that has failed. */
    @Test
    public void resignationAfterAFailureDoesNotFollowAClaimThatWasNotRead() {
        becomeLeader();
        store.getRecords(Topic.CLAIMS).add(NEXT_CLAIM.toRecord());
        failClockFor(500);
        loop.advance(3000);
        assertEquals(NEXT_CLAIM, newestClaim());
        read(NEXT_CLAIM);
        loop.advance(3000);
        assertEquals(NEXT_CLAIM, newestClaim());
    }

    /** Guards against a leader that ends without a newer claim, after which nobody would lead. */
    @Test
    public void epochThatAnotherLeaderUsesIsVacated() {
        List<KeyedRecord> foreign = List.of(new KeyedRecord("heartbeat", new byte[] {1}));
        store.append(
                Topic.CELL,
                foreign,
                new AppendCondition(CLAIM.epoch(), 7, AppendCondition.ANY_END));
        store.getRecords(Topic.CLAIMS).add(CLAIM.toRecord());
        read(CLAIM);
        loop.advance(50);
        manager.handle(entry, 1, new SubmitJob(CellFixtures.job("a", 1)));
        loop.advance(1000);
        assertEquals(CLAIM.resigned(), newestClaim());
        assertFalse(isDone(entry.findAnswer(1)), "the job is not stored");
    }

    /**
     * Guards against a cell that nobody leads: the only process was deposed by an append whose
     * outcome could no longer be read, and waited for another process to claim the leadership.
     */
    @Test
    public void claimOfALeaderThatCannotReadBackItsAppendIsVacated() {
        becomeLeader();
        loseAnswerAndHistory();
        loop.advance(1000);
        assertEquals(CLAIM.resigned(), newestClaim());
        assertFalse(isDone(entry.findAnswer(2)), "the outcome is unknown");
    }

    /** The same if the answer to the resignation is lost as well, and the claims' history gone. */
    @Test
    public void resignationOfADeposedLeaderIsRepeatedUntilItIsRead() {
        becomeLeader();
        claimsRead = -1;
        loseAnswerAndHistory();
        loop.advance(2000);
        assertTrue(newestClaim().isHeld(), "the claims have not been read");
        claimsRead = 1;
        store.setMode(FakeKeyedStore.Mode.ANSWERS_LOST);
        loop.advance(500);
        assertEquals(CLAIM.resigned(), newestClaim());
        int written = store.getRecords(Topic.CLAIMS).size();
        store.setMode(FakeKeyedStore.Mode.UP);
        read(newestClaim());
        loop.advance(3000);
        assertEquals(written, store.getRecords(Topic.CLAIMS).size());
    }

    /** The same if the process is stopped in order before its resignation is stored. */
    @Test
    public void stoppedProcessVacatesTheClaimOfItsDeposedLeader() {
        becomeLeader();
        claimsRead = -1;
        loseAnswerAndHistory();
        loop.advance(300);
        claimsRead = 1;
        manager.resign(1000);
        assertEquals(CLAIM.resigned(), newestClaim());
    }

    @Test
    public void deposedLeaderWritesNothingBehindTheClaimOfItsSuccessor() {
        becomeLeader();
        store.getRecords(Topic.CLAIMS).add(NEXT_CLAIM.toRecord());
        store.fence(Topic.CELL, NEXT_CLAIM.epoch());
        manager.handle(entry, 2, new SubmitJob(CellFixtures.job("b", 1)));
        loop.advance(3000);
        assertEquals(NEXT_CLAIM, newestClaim());
    }

    /** Submits a job whose append is stored without an answer, and drops the history after it. */
    private void loseAnswerAndHistory() {
        store.setMode(FakeKeyedStore.Mode.ANSWERS_LOST);
        manager.handle(entry, 2, new SubmitJob(CellFixtures.job("b", 1)));
        loop.advance(50);
        store.dropHistory();
        store.setMode(FakeKeyedStore.Mode.UP);
    }

    private static boolean isDone(Message answer) {
        return answer instanceof JobAnswer job && job.result() == JobAnswer.Result.DONE;
    }
}
