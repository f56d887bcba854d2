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
 * Tests that a leader that was frozen for as long as a lease assigns no run that it then releases.
 *
 * <p>Guards against two concurrent runs of a task within half a second after the leader resumes:
 * the leader is frozen for longer than its authority. It then handles the reports received
 * meanwhile without granting leases, as its last contact to the store is too old, assigns runs to
 * the workers, and releases these runs at its next check of leases. The agents keep the orders and
 * start the runs under their next lease. The cause is that of {@link TestOrdersAfterLeaseExpiry};
 * the store is always available here.
 *
 * <p>A real leader is frozen for each tenth of a second from its authority to somewhat more than
 * authority and a lease together. Its messages and timers are then all processed at once.
 */
public class TestFrozenLeader {

    private static final long MIN_FREEZE_MILLIS = 3000;
    private static final long MAX_FREEZE_MILLIS = 10_000;
    private static final long STEP_MILLIS = 100;

    private static List<String> run(long freezeMillis, boolean wholeProcess) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 1, false);
        environment.runUntil(250);
        cell.addMachine(false);
        environment.runUntil(4000);
        cell.newestLeader().freeze(freezeMillis, wholeProcess);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 3, 0));
        environment.runUntil(4000 + freezeMillis + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> runAll(boolean wholeProcess) {
        List<String> violations = new ArrayList<>();
        for (long freezeMillis = MIN_FREEZE_MILLIS;
                freezeMillis <= MAX_FREEZE_MILLIS;
                freezeMillis += STEP_MILLIS) {
            for (String violation : run(freezeMillis, wholeProcess)) {
                violations.add("frozen for " + freezeMillis + ": " + violation);
            }
        }
        return violations;
    }

    @Test
    public void aLeaderWhoseProcessWasFrozenCausesNoTwoRunsOfOneTask() {
        assertEquals(List.of(), runAll(true));
    }

    @Test
    public void aLeaderWhoseLoopWasFrozenCausesNoTwoRunsOfOneTask() {
        assertEquals(List.of(), runAll(false));
    }
}
