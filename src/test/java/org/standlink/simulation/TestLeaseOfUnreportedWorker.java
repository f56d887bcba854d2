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
 * Tests that a worker keeps its runs under a lease only if the leader knows that it does.
 *
 * <p>How it comes about: an agent's process is started anew. Its first reports name no worker, as
 * none has answered it yet; the leader grants a lease for them and prolongs nothing in its book.
 * Then the worker answers, and the way to the leader is cut before the next report. The agent tells
 * the worker to keep its runs until the end of that lease, while the leader gives them up by the
 * last report of the earlier process.
 *
 * <p>Cause: an agent has one lease for all of its workers, whether the report that it was granted
 * for named them or not.
 */
public class TestLeaseOfUnreportedWorker {

    private static final long END_MILLIS = 4000;
    private static final long RESTART_MILLIS = 5500;
    private static final long UNHEARD_MILLIS = 900;
    private static final long CUT_MILLIS = 800;

    @Test
    public void aLeaseDoesNotCoverAWorkerThatNoReportHasNamed() {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 1, false);
        world.runUntil(1000);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 1, 0));
        world.runUntil(2000);
        cell.addMachine(false);
        world.runUntil(END_MILLIS);
        SimulatedMachine machine = cell.getMachines().get(0);
        machine.endAgent();
        world.runUntil(RESTART_MILLIS);
        machine.getWorkerClient().makeUnresponsive(UNHEARD_MILLIS);
        machine.startAgent(cell.newestLeaderNotice());
        world.runUntil(RESTART_MILLIS + CUT_MILLIS);
        machine.getUplink().loseMessages(20_000);
        machine.getDownlink().loseMessages(20_000);
        world.runUntil(RESTART_MILLIS + 15_000);
        List<String> found = cell.getInvariantChecker().finish();
        assertEquals(List.of(), found, () -> String.join("\n", world.getTrace()));
    }
}
