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

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that a lease covers a worker only if a report that the leader has received names it.
 *
 * <p>Guards against runs that outlive their release: a restarted agent process sends reports that
 * name no worker, as none has answered it yet. The leader grants a lease for them, but extends the
 * lease of no worker in its records. Then the worker answers, and the link to the leader fails
 * before the next report. If the agent extended the worker's lease to the end of its own, the
 * leader would release the runs earlier, by the last report of the previous process. The cause is
 * that an agent has one lease for all of its workers, whether or not the report it was granted for
 * named them.
 */
public class TestLeaseOfUnreportedWorker {

    private static final long AGENT_END_MILLIS = 4000;
    private static final long AGENT_RESTART_MILLIS = 5500;
    private static final long UNRESPONSIVE_MILLIS = 900;
    private static final long PARTITION_DELAY_MILLIS = 800;

    @Test
    public void aLeaseDoesNotCoverAWorkerThatNoReportHasNamed() {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 1, false);
        environment.runUntil(1000);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 1, 0));
        environment.runUntil(2000);
        cell.addMachine(false);
        environment.runUntil(AGENT_END_MILLIS);
        SimulatedMachine machine = cell.getMachines().get(0);
        machine.endAgent();
        environment.runUntil(AGENT_RESTART_MILLIS);
        machine.getWorkerClient().makeUnresponsive(UNRESPONSIVE_MILLIS);
        machine.startAgent(cell.newestLeaderNotice());
        environment.runUntil(AGENT_RESTART_MILLIS + PARTITION_DELAY_MILLIS);
        machine.getUplink().loseMessages(20_000);
        machine.getDownlink().loseMessages(20_000);
        environment.runUntil(AGENT_RESTART_MILLIS + 15_000);
        List<String> violations = cell.getInvariantChecker().finish();
        assertEquals(List.of(), violations, () -> String.join("\n", environment.getTrace()));
    }
}
