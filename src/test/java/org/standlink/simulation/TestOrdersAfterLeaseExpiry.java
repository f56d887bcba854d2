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
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that an order does not outlive the lease under which the leader gave it.
 *
 * <p>Seen: the store was away for as long as a leader's authority and a lease together. Within half
 * a second of its return, runs 2 and 3 of one task began on two workers; run 2 was stopped half a
 * second later.
 *
 * <p>How it came about: all leases ran out while the store was away, and run 1 lapsed. When the
 * store came back, the leader gave run 2 to a worker whose agent it had heard just before, but
 * whose last lease was about to run out in the leader's book. It ran out before the agent's next
 * heartbeat, so the leader released run 2 and gave run 3 to another worker. The agent had kept the
 * order for run 2, since it had no lease itself; with its next heartbeat it got one and started it.
 *
 * <p>Cause: nothing bound an order to the lease under which it was given. The leader's release
 * rests on the old lease, while the agent starts a run that it was told of under any later one.
 *
 * <p>Proof: a real leader and two real agents with simulated workers. In the sweep, the store comes
 * back at every tenth of a heartbeat around the end of the leases.
 */
public class TestOrdersAfterLeaseExpiry {

    private static final long FIRST_AWAY_MILLIS = 8400;
    private static final long LAST_AWAY_MILLIS = 9600;
    private static final long STEP_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 500;

    /** Plays a day on which the store is away for so long, from so long after a heartbeat. */
    private static SimulatedCell play(long phaseMillis, long awayMillis) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 1, false);
        // The agents' heartbeats are to be half a period apart.
        world.runUntil(250);
        cell.addMachine(false);
        world.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, 0));
        world.runUntil(4000 + phaseMillis);
        cell.getStoreFaults().refuseCalls(awayMillis);
        world.runUntil(4000 + phaseMillis + awayMillis + 3000);
        return cell;
    }

    @Test
    public void aRunReleasedWithItsLeaseIsNotStartedUnderTheNextOne() {
        SimulatedCell cell = play(0, 8700);
        List<String> found = cell.getInvariantChecker().finish();
        assertEquals(List.of(), found, () -> String.join("\n", cell.getEnvironment().getTrace()));
    }

    @Test
    public void noRecoveryTimeOfTheStoreCausesTwoRunsOfOneTask() {
        List<String> found = new ArrayList<>();
        for (long phase = 0; phase < HEARTBEAT_MILLIS; phase += 2 * STEP_MILLIS) {
            for (long away = FIRST_AWAY_MILLIS; away <= LAST_AWAY_MILLIS; away += STEP_MILLIS) {
                SimulatedCell cell = play(phase, away);
                for (String one : cell.getInvariantChecker().finish()) {
                    found.add("away for " + away + " from " + phase + ": " + one);
                }
                assertTrue(cell.getInvariantChecker().countStarts() >= 2, "the job ran");
            }
        }
        assertEquals(List.of(), found);
    }
}
