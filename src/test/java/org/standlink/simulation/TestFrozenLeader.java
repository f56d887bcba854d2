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

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that a leader that stood still for as long as a lease gives no run that it then takes for
 * over.
 *
 * <p>Seen: on random days of the simulated cell, runs 1 and 2 of a task began on two workers within
 * half a second after the leader had gone on.
 *
 * <p>How it came about: the leader stood still for longer than its authority. When it went on, it
 * handled the reports that had come meanwhile without granting a lease, since it had not heard of
 * the store for so long, gave the workers runs, and took these for over with its next look at
 * leases. The agents kept the orders and started them with their next lease.
 *
 * <p>Cause: as in {@link TestOrdersAfterLeaseExpiry}; here the store is never away.
 *
 * <p>Proof: a real leader that stands still for every time, in tenths of a second, from its
 * authority to somewhat more than authority and a lease together; its messages and timers then run
 * all at once.
 */
public class TestFrozenLeader {

    private static final long FIRST_MILLIS = 3000;
    private static final long LAST_MILLIS = 10_000;
    private static final long STEP_MILLIS = 100;

    private static List<String> play(long millis, boolean whole) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 1, false);
        world.runUntil(250);
        cell.addMachine(false);
        world.runUntil(4000);
        cell.newestLeader().freeze(millis, whole);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 3, 0));
        world.runUntil(4000 + millis + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> playAll(boolean whole) {
        List<String> found = new ArrayList<>();
        for (long millis = FIRST_MILLIS; millis <= LAST_MILLIS; millis += STEP_MILLIS) {
            for (String one : play(millis, whole)) {
                found.add("still for " + millis + ": " + one);
            }
        }
        return found;
    }

    @Test
    public void aLeaderWhoseProcessWasFrozenCausesNoTwoRunsOfOneTask() {
        assertEquals(List.of(), playAll(true));
    }

    @Test
    public void aLeaderWhoseLoopWasFrozenCausesNoTwoRunsOfOneTask() {
        assertEquals(List.of(), playAll(false));
    }
}
