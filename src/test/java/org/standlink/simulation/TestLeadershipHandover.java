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
package org.standlink.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.election.Claim;
import org.standlink.store.Topic;

/**
 * Tests that no epoch is claimed twice and no accepted job is lost when a leader resigns late.
 *
 * <p>Guards against a resignation behind the claim of a successor. The topic of claims then ends
 * with an older epoch, which is all that a process reads when it starts. It claimed the epoch of
 * the successor again, numbered its appends as the successor had, and took the first answer to the
 * successor's append for its own.
 */
public class TestLeadershipHandover {

    private static final String FIRST = "10.0.0.1:1";
    private static final String SECOND = "10.0.0.2:1";

    private final ContentionScene scene = new ContentionScene(new SimulationEnvironment());

    /** What prevents the first leader from reading its successor's claim, and how it resigns. */
    private enum Resignation {
        /** The leader was partitioned from the store. */
        AFTER_A_PARTITION,
        /** The leader was frozen, and received its stop signal meanwhile. */
        AFTER_A_FREEZE,
        /** The leader was partitioned from the store, and fails as the partition ends. */
        AFTER_A_FAILURE,
        /** The leader was partitioned from the store, and its resignation is executed late. */
        EXECUTED_LATE
    }

    /** The fate of the successor once it has claimed the leadership. */
    private enum Successor {
        LIVES,
        ENDS_BEFORE_ITS_FIRST_APPEND,
        ENDS_AFTER_ITS_FIRST_APPEND,
        RESIGNS
    }

    // -----------------------------------------------------------------------
    private void play(Resignation resignation, Successor fate) {
        String order = resignation + ", successor " + fate;
        SimulatedContender leader = scene.start(FIRST);
        scene.runUntil("the first leader", leader::leads);
        SimulatedContender successor = scene.start(SECOND);
        scene.run(1000);
        if (resignation == Resignation.AFTER_A_FREEZE) {
            leader.getProcess().freeze(4000);
            leader.stop();
        } else {
            leader.cutOff(4000);
        }
        scene.runUntil("the successor's claim", () -> scene.isClaimed(2));
        apply(fate, successor);
        resign(leader, resignation);
        scene.runUntil("the end of the first leader", leader::hasEnded);
        scene.start(FIRST);
        scene.run(2000);
        if (successor.hasEnded()) {
            scene.start(SECOND);
        }
        scene.run(4000);
        scene.assertEpochsAreClaimedOnce(order);
        scene.assertAcceptedJobsAreStored(order);
        scene.assertJobsAreAccepted(order);
    }

    private void apply(Successor fate, SimulatedContender successor) {
        if (fate == Successor.ENDS_AFTER_ITS_FIRST_APPEND) {
            int before = scene.getStore().getRecords(Topic.CELL).size();
            scene.runUntil(
                    "the successor's first append",
                    () -> scene.getStore().getRecords(Topic.CELL).size() > before);
        }
        if (fate == Successor.RESIGNS) {
            scene.runUntil("the successor's leadership", successor::leads);
            successor.stop();
        } else if (fate != Successor.LIVES) {
            successor.end();
        }
    }

    /** Ends the partition of the first leader, and makes it resign. */
    private void resign(SimulatedContender leader, Resignation resignation) {
        if (resignation == Resignation.AFTER_A_FREEZE) {
            return;
        }
        if (resignation == Resignation.EXECUTED_LATE) {
            leader.getStore().delayClaims(1500);
        }
        leader.getStore().getOwnFaults().heal();
        if (resignation == Resignation.AFTER_A_FAILURE) {
            leader.getProcess().throwOnClockRead(1, new IllegalStateException("on purpose"));
            scene.run(300);
            leader.end();
        } else {
            leader.stop();
        }
    }

    private static void playAll(Resignation resignation) {
        for (Successor fate : Successor.values()) {
            new TestLeadershipHandover().play(resignation, fate);
        }
    }

    // -----------------------------------------------------------------------
    @Test
    public void resignationAfterAPartition() {
        playAll(Resignation.AFTER_A_PARTITION);
    }

    @Test
    public void resignationAfterAFreeze() {
        playAll(Resignation.AFTER_A_FREEZE);
    }

    @Test
    public void resignationAfterAFailure() {
        playAll(Resignation.AFTER_A_FAILURE);
    }

    @Test
    public void resignationThatIsExecutedLate() {
        playAll(Resignation.EXECUTED_LATE);
    }

    /** A rolling restart, in which each process that takes over is stopped at once. */
    @Test
    public void resignationsInSeries() {
        for (int round = 1; round <= 6; round++) {
            String address = round % 2 == 1 ? FIRST : SECOND;
            SimulatedContender process = scene.start(address);
            scene.runUntil("the leader of round " + round, process::leads);
            process.stop();
            scene.runUntil("its end", process::hasEnded);
        }
        scene.start(FIRST);
        scene.run(2000);
        scene.assertEpochsAreClaimedOnce("in series");
        scene.assertAcceptedJobsAreStored("in series");
        scene.assertJobsAreAccepted("in series");
    }

    /**
     * Guards against a cell that nobody leads, since its only process was deposed by a lost answer
     * and a dropped history and then waited for another one to claim.
     */
    @Test
    public void onlyProcessLeadsAgainAfterItsAppendCannotBeReadBack() {
        for (long seed = 1; seed <= 20; seed++) {
            playLostHistory(seed, false);
        }
    }

    /** The same beside a second process, which may claim first. */
    @Test
    public void cellIsLedAgainAfterAnAppendCannotBeReadBack() {
        for (long seed = 1; seed <= 20; seed++) {
            playLostHistory(seed, true);
        }
    }

    private static void playLostHistory(long seed, boolean secondProcess) {
        ContentionScene lossy = new ContentionScene(new SimulationEnvironment(seed));
        long lossMillis = 300 + 200 * seed;
        String order = "seed " + seed;
        SimulatedContender leader = lossy.start(FIRST);
        lossy.runUntil("the first leader", leader::leads);
        if (secondProcess) {
            lossy.start(SECOND);
        }
        lossy.runUntil("its first job", lossy::hasAcceptedJobs);
        leader.getStore().getOwnFaults().loseAnswers(lossMillis);
        lossy.getEnvironment().scheduleRepeating(5, lossy.getStore()::dropHistory);
        lossy.run(lossMillis + 5000);
        lossy.assertEpochsAreClaimedOnce(order);
        lossy.assertAcceptedJobsAreStored(order);
        lossy.assertJobsAreAccepted(order);
    }

    /**
     * Guards against a shared epoch, however it came about: here a topic in which an earlier
     * version has left an older epoch behind a newer one.
     */
    @Test
    public void olderEpochBehindANewerOneLosesNoJob() {
        Claim older = new Claim(Epoch.of(1), "", Incarnation.of(90));
        for (Successor fate : List.of(Successor.LIVES, Successor.ENDS_AFTER_ITS_FIRST_APPEND)) {
            ContentionScene upgraded = new ContentionScene(new SimulationEnvironment());
            upgraded.getStore().getRecords(Topic.CLAIMS).add(older.toRecord());
            SimulatedContender leader = upgraded.start(SECOND);
            upgraded.runUntil("the leader of epoch 2", () -> upgraded.isClaimed(2));
            upgraded.runUntil("its first job", upgraded::hasAcceptedJobs);
            if (fate != Successor.LIVES) {
                leader.end();
            }
            upgraded.getStore().getRecords(Topic.CLAIMS).add(older.toRecord());
            upgraded.start(FIRST);
            upgraded.run(6000);
            upgraded.assertAcceptedJobsAreStored("older epoch, leader " + fate);
            upgraded.assertJobsAreAccepted("older epoch, leader " + fate);
            assertTrue(upgraded.isClaimed(3), "a higher epoch is claimed");
        }
    }
}
