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
 * Tests that an agent that stood still does not start what was given up meanwhile.
 *
 * <p>Seen: on random days of the simulated cell, a run began on a worker two seconds after its task
 * had been done on another one.
 *
 * <p>How it came about: an agent stood still, for longer than its lease. An order that had come
 * meanwhile waited in its queue. The leader gave the run up when the lease was over in its book,
 * and the task was done elsewhere. Then the agent went on: its first call was too late for the
 * worker, it took its next lease and called again.
 *
 * <p>Cause: as in {@link TestOrdersAfterLeaseExpiry}; neither the store nor the leader is hindered
 * here.
 *
 * <p>Proof: a real leader and two real agents, one of which stands still for different times; its
 * messages and timers then run all at once.
 */
public class TestFrozenAgent {

    private static final long FIRST_MILLIS = 5500;
    private static final long LAST_MILLIS = 11_000;
    private static final long STEP_MILLIS = 100;

    private static List<String> play(long millis, long workMillis) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 2, false);
        world.runUntil(4000);
        cell.getMachines().get(0).freezeAgent(millis);
        world.runUntil(4500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, workMillis));
        world.runUntil(4000 + millis + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> playAll(long workMillis) {
        List<String> found = new ArrayList<>();
        for (long millis = FIRST_MILLIS; millis <= LAST_MILLIS; millis += STEP_MILLIS) {
            for (String one : play(millis, workMillis)) {
                found.add("still for " + millis + ": " + one);
            }
        }
        return found;
    }

    @Test
    public void aTaskCompletedElsewhereIsNotStartedAgain() {
        assertEquals(List.of(), playAll(500));
    }

    @Test
    public void aTaskRunningElsewhereIsNotStartedTwice() {
        assertEquals(List.of(), playAll(0));
    }
}
