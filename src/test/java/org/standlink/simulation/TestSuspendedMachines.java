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
 * Tests that suspending a machine extends neither the leases of an agent nor the authority of a
 * leader.
 *
 * <p>Guards against leases that outlive what the leader waits for: the monotonic clock of a
 * suspended machine stands still. When an agent resumes, its lease seems to have the same time
 * left, while the clock of the worker went on; it would extend the worker's lease beyond the time
 * the leader waits for. When a leader resumes, its last write to the store seems to have just
 * happened; it would grant leases beyond the time its successor waits for.
 *
 * <p>Real leaders and agents run with clocks that stand still for various times. Meanwhile, the
 * link of the agent or the notification of the next leader is lost.
 */
public class TestSuspendedMachines {

    private static final long SUSPEND_AT_MILLIS = 5000;
    private static final long MAX_SUSPENSION_MILLIS = 14_000;
    private static final long STEP_MILLIS = 250;
    private static final long RECOVERY_MILLIS = 20_000;

    private static SimulatedCell startCellWithJobs() {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 2, false);
        environment.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, 0));
        cell.getCallers().submit(SimulatedCallers.createJob("bbbbbbbbbbbbbbbb", 2, 9000));
        environment.runUntil(SUSPEND_AT_MILLIS);
        assertTrue(cell.getInvariantChecker().countStarts() >= 4, "all tasks were started");
        return cell;
    }

    private static List<String> listViolations(SimulatedCell cell, long suspensionMillis) {
        cell.getEnvironment().runUntil(SUSPEND_AT_MILLIS + suspensionMillis + RECOVERY_MILLIS);
        List<String> violations = new ArrayList<>();
        for (String violation : cell.getInvariantChecker().finish()) {
            violations.add("suspended for " + suspensionMillis + ": " + violation);
        }
        return violations;
    }

    private static List<String> suspendAgent(long suspensionMillis, boolean linkLost) {
        SimulatedCell cell = startCellWithJobs();
        SimulatedMachine machine = cell.getMachines().get(0);
        if (linkLost) {
            machine.getUplink().loseMessages(suspensionMillis + RECOVERY_MILLIS / 2);
        }
        machine.suspendAgent(suspensionMillis);
        return listViolations(cell, suspensionMillis);
    }

    private static List<String> suspendLeader(long suspensionMillis, long takeoverMillis) {
        SimulatedCell cell = startCellWithJobs();
        SimulatedLeader first = cell.newestLeader();
        first.suspend(suspensionMillis);
        // It resumes for long enough to answer the reports received meanwhile.
        cell.getEnvironment().schedule(suspensionMillis + 100, () -> cell.crash(first));
        cell.getEnvironment()
                .schedule(
                        takeoverMillis,
                        () -> {
                            cell.startLeader();
                            // The other agent receives nothing but the messages of its leader.
                            cell.getMachines().get(1).notifyOfLeader(cell.newestLeaderNotice());
                        });
        return listViolations(cell, suspensionMillis);
    }

    @Test
    public void anAgentExtendsNoLeaseByTheTimeItWasSuspended() {
        List<String> violations = new ArrayList<>();
        for (long suspensionMillis = STEP_MILLIS;
                suspensionMillis <= MAX_SUSPENSION_MILLIS;
                suspensionMillis += STEP_MILLIS) {
            violations.addAll(suspendAgent(suspensionMillis, true));
            violations.addAll(suspendAgent(suspensionMillis, false));
        }
        assertEquals(List.of(), violations);
    }

    @Test
    public void aLeaderGrantsNoLeaseForTheTimeItWasSuspended() {
        List<String> violations = new ArrayList<>();
        for (long suspensionMillis = STEP_MILLIS;
                suspensionMillis <= MAX_SUSPENSION_MILLIS;
                suspensionMillis += STEP_MILLIS) {
            violations.addAll(suspendLeader(suspensionMillis, 1000));
            violations.addAll(suspendLeader(suspensionMillis, 3000));
        }
        assertEquals(List.of(), violations);
    }
}
