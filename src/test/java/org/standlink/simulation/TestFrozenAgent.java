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
 * Tests that an agent that was frozen does not start runs that were released meanwhile.
 *
 * <p>Guards against runs that start seconds after their task has been completed elsewhere: an agent
 * is frozen for longer than its lease with an order in its queue. The leader releases the run once
 * the lease has expired, and the task is completed on another worker. When the agent resumes, its
 * first start call is too late for the worker, but it gets its next lease and calls again. The
 * cause is that of {@link TestOrdersAfterLeaseExpiry}; neither the store nor the leader is at fault
 * here.
 *
 * <p>A real leader runs with two real agents, one of which is frozen for various times. Its
 * messages and timers are then all processed at once.
 */
public class TestFrozenAgent {

    private static final long MIN_FREEZE_MILLIS = 5500;
    private static final long MAX_FREEZE_MILLIS = 11_000;
    private static final long STEP_MILLIS = 100;

    private static List<String> run(long freezeMillis, long workMillis) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 2, false);
        environment.runUntil(4000);
        cell.getMachines().get(0).freezeAgent(freezeMillis);
        environment.runUntil(4500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, workMillis));
        environment.runUntil(4000 + freezeMillis + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> runAll(long workMillis) {
        List<String> violations = new ArrayList<>();
        for (long freezeMillis = MIN_FREEZE_MILLIS;
                freezeMillis <= MAX_FREEZE_MILLIS;
                freezeMillis += STEP_MILLIS) {
            for (String violation : run(freezeMillis, workMillis)) {
                violations.add("frozen for " + freezeMillis + ": " + violation);
            }
        }
        return violations;
    }

    @Test
    public void aTaskCompletedElsewhereIsNotStartedAgain() {
        assertEquals(List.of(), runAll(500));
    }

    @Test
    public void aTaskRunningElsewhereIsNotStartedTwice() {
        assertEquals(List.of(), runAll(0));
    }
}
