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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.election.Claim;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
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
    private static final long SUBMISSION_INTERVAL_MILLIS = 40;
    private static final long STEP_MILLIS = 5;
    private static final long MAX_WAIT_MILLIS = 10_000;

    private final SimulationEnvironment environment = new SimulationEnvironment();
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final List<SimulatedContender> processes = new ArrayList<>();
    private final Set<JobId> accepted = new LinkedHashSet<>();
    private long submissions;

    /** What keeps the first leader from its successor's claim, and how it resigns afterwards. */
    private enum Resignation {
        /** The leader was partitioned from the store. */
        AFTER_A_PARTITION,
        /** The leader was frozen, and was told to stop meanwhile. */
        AFTER_A_FREEZE,
        /** The leader was partitioned from the store, and fails as the partition ends. */
        AFTER_A_FAILURE,
        /** The leader was partitioned from the store, and its resignation is executed late. */
        EXECUTED_LATE
    }

    /** What becomes of the successor. */
    private enum Successor {
        LIVES,
        ENDS_BEFORE_ITS_FIRST_APPEND,
        ENDS_AFTER_ITS_FIRST_APPEND,
        RESIGNS
    }

    @BeforeEach
    public void startCallers() {
        environment.scheduleRepeating(SUBMISSION_INTERVAL_MILLIS, this::submit);
    }

    private SimulatedContender start(String address) {
        SimulatedContender process =
                new SimulatedContender(
                        environment,
                        store,
                        address,
                        Incarnation.of(processes.size() + 1),
                        this::find);
        processes.add(process);
        return process;
    }

    private SimulatedContender find(String address) {
        return processes.stream()
                .filter(process -> !process.hasEnded() && process.getAddress().equals(address))
                .findFirst()
                .orElse(null);
    }

    /** Submits a job of its own to each process, which only a leader accepts. */
    private void submit() {
        for (SimulatedContender process : processes) {
            if (!process.hasEnded()) {
                String id = String.format("%016x", ++submissions);
                process.submit(SimulatedCallers.createJob(id, 1, 1000), accepted);
            }
        }
    }

    private void run(long millis) {
        environment.runUntil(environment.elapsed() + millis);
    }

    private void runUntil(String event, BooleanSupplier condition) {
        long end = environment.elapsed() + MAX_WAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(environment.elapsed() < end, "not seen: " + event);
            run(STEP_MILLIS);
        }
    }

    private List<Claim> claims() {
        return store.getRecords(Topic.CLAIMS).stream().map(Claim::of).toList();
    }

    private boolean isClaimed(long epoch) {
        return claims().stream()
                .anyMatch(claim -> claim.isHeld() && claim.epoch().equals(Epoch.of(epoch)));
    }

    /** Checks that epochs only rise, and that each one has a single holder. */
    private void assertEpochsAreClaimedOnce(String order) {
        Map<Epoch, Incarnation> holders = new HashMap<>();
        Epoch newest = Epoch.NONE;
        for (Claim claim : claims()) {
            assertTrue(claim.epoch().compareTo(newest) >= 0, () -> order + ": " + claims());
            Incarnation holder = holders.putIfAbsent(claim.epoch(), claim.holder());
            assertTrue(
                    holder == null || holder.equals(claim.holder()),
                    () -> order + ": claimed twice: " + claims());
            newest = claim.epoch();
        }
    }

    private void assertAcceptedJobsAreStored(String order) {
        Set<String> stored = new LinkedHashSet<>();
        for (KeyedRecord record : store.getRecords(Topic.CELL)) {
            stored.add(record.key());
        }
        List<JobId> lost = accepted.stream().filter(job -> !stored.contains("d/" + job)).toList();
        assertEquals(List.of(), lost, order + ": accepted jobs that are not stored");
    }

    private void assertJobsAreAccepted(String order) {
        int before = accepted.size();
        run(1000);
        assertTrue(accepted.size() > before, order + ": nobody leads");
    }

    // -----------------------------------------------------------------------
    private void play(Resignation resignation, Successor fate) {
        String order = resignation + ", successor " + fate;
        SimulatedContender leader = start(FIRST);
        runUntil("the first leader", leader::leads);
        SimulatedContender successor = start(SECOND);
        run(1000);
        if (resignation == Resignation.AFTER_A_FREEZE) {
            leader.getProcess().freeze(4000);
            leader.stop();
        } else {
            leader.cutOff(4000);
        }
        runUntil("the successor's claim", () -> isClaimed(2));
        apply(fate, successor);
        resign(leader, resignation);
        runUntil("the end of the first leader", leader::hasEnded);
        start(FIRST);
        run(2000);
        if (successor.hasEnded()) {
            start(SECOND);
        }
        run(4000);
        assertEpochsAreClaimedOnce(order);
        assertAcceptedJobsAreStored(order);
        assertJobsAreAccepted(order);
    }

    private void apply(Successor fate, SimulatedContender successor) {
        if (fate == Successor.ENDS_AFTER_ITS_FIRST_APPEND) {
            int before = store.getRecords(Topic.CELL).size();
            runUntil(
                    "the successor's first append",
                    () -> store.getRecords(Topic.CELL).size() > before);
        }
        if (fate == Successor.RESIGNS) {
            runUntil("the successor's leadership", successor::leads);
            successor.stop();
        } else if (fate != Successor.LIVES) {
            successor.end();
        }
    }

    /** Ends what keeps the first leader from the store, and lets it resign. */
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
            run(300);
            leader.end();
        } else {
            leader.stop();
        }
    }

    private static void playAll(Resignation resignation) {
        for (Successor fate : Successor.values()) {
            TestLeadershipHandover scene = new TestLeadershipHandover();
            scene.startCallers();
            scene.play(resignation, fate);
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
            SimulatedContender process = start(address);
            runUntil("the leader of round " + round, process::leads);
            process.stop();
            runUntil("its end", process::hasEnded);
        }
        start(FIRST);
        run(2000);
        assertEpochsAreClaimedOnce("in series");
        assertAcceptedJobsAreStored("in series");
        assertJobsAreAccepted("in series");
    }

    /**
     * Guards against a shared epoch, however it came about: here a topic in which an earlier
     * version has left an older epoch behind a newer one.
     */
    @Test
    public void olderEpochBehindANewerOneLosesNoJob() {
        Claim older = new Claim(Epoch.of(1), "", Incarnation.of(90));
        for (Successor fate : List.of(Successor.LIVES, Successor.ENDS_AFTER_ITS_FIRST_APPEND)) {
            TestLeadershipHandover scene = new TestLeadershipHandover();
            scene.startCallers();
            scene.store.getRecords(Topic.CLAIMS).add(older.toRecord());
            SimulatedContender leader = scene.start(SECOND);
            scene.runUntil("the leader of epoch 2", () -> scene.isClaimed(2));
            scene.runUntil("its first job", () -> !scene.accepted.isEmpty());
            if (fate != Successor.LIVES) {
                leader.end();
            }
            scene.store.getRecords(Topic.CLAIMS).add(older.toRecord());
            scene.start(FIRST);
            scene.run(6000);
            scene.assertAcceptedJobsAreStored("older epoch, leader " + fate);
            scene.assertJobsAreAccepted("older epoch, leader " + fate);
            assertTrue(scene.isClaimed(3), "a higher epoch is claimed");
        }
    }
}
