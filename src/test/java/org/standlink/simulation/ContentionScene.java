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
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.election.Claim;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;

/** Processes that contend for the leadership of a cell, and callers that submit jobs to them. */
final class ContentionScene {

    private static final long SUBMISSION_INTERVAL_MILLIS = 40;
    private static final long STEP_MILLIS = 5;
    private static final long MAX_WAIT_MILLIS = 10_000;

    private final SimulationEnvironment environment;
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final List<SimulatedContender> processes = new ArrayList<>();
    private final Set<JobId> accepted = new LinkedHashSet<>();
    private long submissions;

    /** Creates a scene without processes. */
    ContentionScene(SimulationEnvironment environment) {
        this.environment = environment;
        environment.scheduleRepeating(SUBMISSION_INTERVAL_MILLIS, this::submit);
    }

    SimulationEnvironment getEnvironment() {
        return environment;
    }

    FakeKeyedStore getStore() {
        return store;
    }

    boolean hasAcceptedJobs() {
        return !accepted.isEmpty();
    }

    /** Starts a process at an address. */
    SimulatedContender start(String address) {
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

    /** Finds the process at an address; null if there is none. */
    SimulatedContender find(String address) {
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

    /** Advances the simulation. */
    void run(long millis) {
        environment.runUntil(environment.elapsed() + millis);
    }

    /** Advances the simulation until a condition holds. */
    void runUntil(String event, BooleanSupplier condition) {
        long end = environment.elapsed() + MAX_WAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(environment.elapsed() < end, "not seen: " + event);
            run(STEP_MILLIS);
        }
    }

    private List<Claim> claims() {
        return store.getRecords(Topic.CLAIMS).stream().map(Claim::of).toList();
    }

    /** Checks whether an epoch has been claimed. */
    boolean isClaimed(long epoch) {
        return claims().stream()
                .anyMatch(claim -> claim.isHeld() && claim.epoch().equals(Epoch.of(epoch)));
    }

    /** Checks that epochs only rise, and that each one has a single holder. */
    void assertEpochsAreClaimedOnce(String order) {
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

    /** Checks that no accepted job is lost. */
    void assertAcceptedJobsAreStored(String order) {
        Set<String> stored = new LinkedHashSet<>();
        for (KeyedRecord record : store.getRecords(Topic.CELL)) {
            stored.add(record.key());
        }
        List<JobId> lost = accepted.stream().filter(job -> !stored.contains("d/" + job)).toList();
        assertEquals(List.of(), lost, order + ": accepted jobs that are not stored");
    }

    /** Checks that a process leads. */
    void assertJobsAreAccepted(String order) {
        int before = accepted.size();
        run(1000);
        assertTrue(accepted.size() > before, order + ": nobody leads");
    }
}
