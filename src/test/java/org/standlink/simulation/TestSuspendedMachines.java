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
 * Tests that a machine that was suspended does not take its rights for longer than they are.
 *
 * <p>How it comes about: the steady clock of a suspended machine stands still. An agent that goes
 * on believes that its lease has the same time left, hears the worker's clock, which went on, and
 * has the worker keep its runs beyond what the leader waits out. A leader that goes on believes
 * that it has just written to the store, and grants leases beyond what its successor waits out.
 *
 * <p>Proof: real leaders and agents whose clocks stand still for different times, with the agent's
 * link or the news of the next leader lost meanwhile.
 */
public class TestSuspendedMachines {

    private static final long AT_MILLIS = 5000;
    private static final long LAST_MILLIS = 14_000;
    private static final long STEP_MILLIS = 250;
    private static final long AFTER_MILLIS = 20_000;

    private static SimulatedCell cellWithWork() {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 2, false);
        world.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, 0));
        cell.getCallers().submit(SimulatedCallers.createJob("bbbbbbbbbbbbbbbb", 2, 9000));
        world.runUntil(AT_MILLIS);
        assertTrue(cell.getInvariantChecker().countStarts() >= 4, "the jobs run");
        return cell;
    }

    private static List<String> end(SimulatedCell cell, long suspended) {
        cell.getEnvironment().runUntil(AT_MILLIS + suspended + AFTER_MILLIS);
        List<String> found = new ArrayList<>();
        for (String one : cell.getInvariantChecker().finish()) {
            found.add("suspended for " + suspended + ": " + one);
        }
        return found;
    }

    private static List<String> suspendAgent(long millis, boolean linkLost) {
        SimulatedCell cell = cellWithWork();
        SimulatedMachine machine = cell.getMachines().get(0);
        if (linkLost) {
            machine.getUplink().loseMessages(millis + AFTER_MILLIS / 2);
        }
        machine.suspendAgent(millis);
        return end(cell, millis);
    }

    private static List<String> suspendLeader(long millis, long nextAfterMillis) {
        SimulatedCell cell = cellWithWork();
        SimulatedLeader first = cell.newestLeader();
        first.suspend(millis);
        // It goes on for long enough to answer the reports that have come meanwhile.
        cell.getEnvironment().schedule(millis + 100, () -> cell.crash(first));
        cell.getEnvironment()
                .schedule(
                        nextAfterMillis,
                        () -> {
                            cell.startLeader();
                            // The other agent is cut off from all news but those of its leader.
                            cell.getMachines().get(1).notifyOfLeader(cell.newestLeaderNotice());
                        });
        return end(cell, millis);
    }

    @Test
    public void anAgentExtendsNoLeaseByTheTimeItWasSuspended() {
        List<String> found = new ArrayList<>();
        for (long millis = STEP_MILLIS; millis <= LAST_MILLIS; millis += STEP_MILLIS) {
            found.addAll(suspendAgent(millis, true));
            found.addAll(suspendAgent(millis, false));
        }
        assertEquals(List.of(), found);
    }

    @Test
    public void aLeaderGrantsNoLeaseForTheTimeItWasSuspended() {
        List<String> found = new ArrayList<>();
        for (long millis = STEP_MILLIS; millis <= LAST_MILLIS; millis += STEP_MILLIS) {
            found.addAll(suspendLeader(millis, 1000));
            found.addAll(suspendLeader(millis, 3000));
        }
        assertEquals(List.of(), found);
    }
}
