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
package org.standlink.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.Incarnation;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;

/** Tests when a candidate claims the leadership, and when it must not. */
public class TestCandidate {

    private static final KeyedRecord HEARTBEAT = new KeyedRecord("heartbeat", new byte[] {1});
    private static final Claim OTHER_CLAIM =
            new Claim(Epoch.of(1), "10.0.0.9:1", Incarnation.of(9));
    private final FakeClock clock = new FakeClock();
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final Candidate candidate =
            new Candidate(
                    store,
                    clock,
                    "10.0.0.1:1",
                    Incarnation.of(1),
                    new ClaimWriter(store, () -> store.getRecords(Topic.CLAIMS).size()));

    private int countClaims() {
        return store.getRecords(Topic.CLAIMS).size();
    }

    private void tickFor(long millis, boolean leaderWrites, boolean leaderAnswers) {
        for (long passed = 0; passed < millis; passed += 100) {
            clock.advance(100);
            if (leaderWrites) {
                store.getRecords(Topic.CELL).add(HEARTBEAT);
            }
            if (leaderAnswers) {
                candidate.leaderAnswered(0);
            }
            candidate.tick();
        }
    }

    @BeforeEach
    public void setUpLeader() {
        store.getRecords(Topic.CLAIMS).add(OTHER_CLAIM.toRecord());
        candidate.observeClaim(OTHER_CLAIM);
    }

    @Test
    public void claimsAtOnceWhenTheLeaderHasResigned() {
        candidate.observeClaim(new Claim(Epoch.of(1), "", Incarnation.of(9)));
        candidate.tick();
        assertEquals(2, countClaims());
        assertEquals(Epoch.of(2), Claim.of(store.getRecords(Topic.CLAIMS).get(1)).epoch());
    }

    /** A process that resigned after a failure is likely to fail again as leader. */
    @Test
    public void delaysItsClaimAfterItHasResigned() {
        candidate.observeClaim(new Claim(Epoch.of(1), "", Incarnation.of(1)));
        tickFor(Candidate.SUSPECT_TIMEOUT_MILLIS - 200, false, false);
        assertEquals(1, countClaims());
        tickFor(200, false, false);
        assertEquals(2, countClaims());
    }

    @Test
    public void neverClaimsWhileTheLeaderAnswers() {
        tickFor(10_000, false, true);
        assertEquals(1, countClaims());
    }

    @Test
    public void neverClaimsWhileTheLeaderWritesThoughItDoesNotAnswer() {
        tickFor(10_000, true, false);
        assertEquals(1, countClaims());
    }

    @Test
    public void claimsWhenTheLeaderNeitherAnswersNorWrites() {
        tickFor(Candidate.STORE_SILENCE_MILLIS - 200, false, false);
        assertEquals(1, countClaims());
        tickFor(500, false, false);
        assertEquals(2, countClaims());
    }

    @Test
    public void claimsSoonerWhenTheLeaderIsAbsent() {
        candidate.leaderAnswered(0);
        candidate.leaderAbsent();
        tickFor(Candidate.ABSENT_LEADER_SILENCE_MILLIS, false, false);
        assertEquals(1, countClaims());
        tickFor(200, false, false);
        assertEquals(2, countClaims());
    }

    @Test
    public void neverClaimsWhileTheLeaderWritesThoughItsAddressRefuses() {
        candidate.leaderAbsent();
        tickFor(10_000, true, false);
        assertEquals(1, countClaims());
    }

    @Test
    public void claimsWhenTheLeaderAnswersWithoutTheStore() {
        for (int i = 0; i < 17; i++) {
            clock.advance(100);
            candidate.leaderAnswered(Candidate.LEADER_STORE_OUTAGE_MILLIS);
            candidate.tick();
        }
        assertEquals(2, countClaims());
    }

    @Test
    public void restartsTheSilenceAfterAStoreOutage() {
        tickFor(1000, false, false);
        store.setMode(FakeKeyedStore.Mode.DOWN);
        tickFor(3000, false, false);
        store.setMode(FakeKeyedStore.Mode.UP);
        tickFor(1000, false, false);
        assertEquals(1, countClaims());
    }

    @Test
    public void losesAgainstAnEarlierClaim() {
        ClaimWriter claims = new ClaimWriter(store, () -> 0);
        Candidate late = new Candidate(store, clock, "10.0.0.2:1", Incarnation.of(2), claims);
        late.tick();
        assertEquals(List.of(OTHER_CLAIM.toRecord()), store.getRecords(Topic.CLAIMS));
    }

    @Test
    public void claimsAtOnceWhenAnEarlierProcessLedAtItsAddress() {
        Claim ownClaim = new Claim(Epoch.of(2), "10.0.0.1:1", Incarnation.of(7));
        store.getRecords(Topic.CLAIMS).add(ownClaim.toRecord());
        candidate.observeClaim(ownClaim);
        candidate.tick();
        assertEquals(3, countClaims());
    }

    @Test
    public void replacesAnUnresponsiveLeaderWithinTwoSeconds() {
        candidate.leaderAnswered(0);
        tickFor(2000, false, false);
        assertEquals(2, countClaims());
    }

    @Test
    public void replacesALeaderWithoutTheStoreWithinTwoSeconds() {
        for (long storeSilentMillis = 0; storeSilentMillis <= 2000; storeSilentMillis += 100) {
            clock.advance(100);
            candidate.leaderAnswered(storeSilentMillis);
            candidate.tick();
        }
        assertEquals(2, countClaims());
    }

    @Test
    public void neverClaimsWhileTheLeaderWritesThoughItReportsAStoreOutage() {
        for (int i = 0; i < 50; i++) {
            clock.advance(100);
            store.getRecords(Topic.CELL).add(HEARTBEAT);
            candidate.leaderAnswered(2000);
            candidate.tick();
        }
        assertEquals(1, countClaims());
    }

    @Test
    public void givesANewLeaderTimeToReadTheState() {
        tickFor(1000, false, false);
        Claim next = new Claim(Epoch.of(2), "10.0.0.8:1", Incarnation.of(8));
        store.getRecords(Topic.CLAIMS).add(next.toRecord());
        candidate.observeClaim(next);
        tickFor(1600, false, false);
        assertEquals(2, countClaims());
        tickFor(600, false, false);
        assertEquals(3, countClaims());
    }
}
