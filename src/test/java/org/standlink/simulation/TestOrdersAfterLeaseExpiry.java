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
 * Tests that an order is not executed after the lease under which the leader issued it.
 *
 * <p>Guards against two concurrent runs of a task: the store was unavailable for as long as leader
 * authority and a lease together, so all leases expired and run 1 lapsed. When the store was back,
 * the leader assigned run 2 to a worker whose agent had just reported, but whose last lease was
 * about to expire in the leader's records. It expired before the agent's next heartbeat, so the
 * leader released run 2 and assigned run 3 to another worker. The agent had kept the order for run
 * 2, as it had no lease itself, and started it under its next lease. The two runs started within
 * half a second, and run 2 was stopped half a second later. The cause was that nothing bound an
 * order to the lease under which it was issued.
 *
 * <p>A real leader runs with two real agents and simulated workers. The store recovers at each
 * tenth of a heartbeat interval around the end of the leases.
 */
public class TestOrdersAfterLeaseExpiry {

    private static final long MIN_OUTAGE_MILLIS = 8400;
    private static final long MAX_OUTAGE_MILLIS = 9600;
    private static final long STEP_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 500;

    /**
     * Runs a cell whose store is unavailable for a time that starts at a phase of the heartbeats.
     */
    private static SimulatedCell run(long phaseMillis, long outageMillis) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 1, false);
        // The heartbeats of the two agents are half an interval apart.
        environment.runUntil(250);
        cell.addMachine(false);
        environment.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, 0));
        environment.runUntil(4000 + phaseMillis);
        cell.getStoreFaults().refuseCalls(outageMillis);
        environment.runUntil(4000 + phaseMillis + outageMillis + 3000);
        return cell;
    }

    @Test
    public void aRunReleasedWithItsLeaseIsNotStartedUnderTheNextOne() {
        SimulatedCell cell = run(0, 8700);
        List<String> violations = cell.getInvariantChecker().finish();
        assertEquals(
                List.of(), violations, () -> String.join("\n", cell.getEnvironment().getTrace()));
    }

    @Test
    public void noRecoveryTimeOfTheStoreCausesTwoRunsOfOneTask() {
        List<String> violations = new ArrayList<>();
        for (long phase = 0; phase < HEARTBEAT_MILLIS; phase += 2 * STEP_MILLIS) {
            for (long outageMillis = MIN_OUTAGE_MILLIS;
                    outageMillis <= MAX_OUTAGE_MILLIS;
                    outageMillis += STEP_MILLIS) {
                SimulatedCell cell = run(phase, outageMillis);
                for (String violation : cell.getInvariantChecker().finish()) {
                    violations.add(
                            "store unavailable for "
                                    + outageMillis
                                    + " from "
                                    + phase
                                    + ": "
                                    + violation);
                }
                assertTrue(cell.getInvariantChecker().countStarts() >= 2, "all tasks were started");
            }
        }
        assertEquals(List.of(), violations);
    }
}
