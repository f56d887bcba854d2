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
 * Tests that a report that comes after its sender's process has ended does not make a life of the
 * past the present one.
 *
 * <p>Seen: on a random day of the simulated cell, the next run of a task began elsewhere while the
 * last one was at work, and another one beside it on the same worker.
 *
 * <p>How it came about: a report was held up on its way. Its sender's process ended, the worker it
 * named crashed, and a new process reported the worker's next life, which was given runs. Then the
 * old report came.
 *
 * <p>Cause: the leader had forgotten the life that was over. It took the life that the old report
 * named for a new one, and so the present one at the same address for replaced, and gave up what
 * ran there. Numbers of reports tell nothing here, as each process counts its own.
 *
 * <p>Proof: a real leader and real agents; only the channel of the earlier process is held up, by
 * different times.
 */
public class TestReportsOfAnEarlierProcess {

    private static final long FIRST_HELD_MILLIS = 2500;
    private static final long LAST_HELD_MILLIS = 8000;
    private static final long STEP_MILLIS = 250;
    private static final int TASKS = 6;

    private static SimulatedCell play(long heldMillis, boolean restarts) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 2, false);
        SimulatedMachine first = cell.getMachines().get(0);
        world.runUntil(4000);
        first.delayChannel(heldMillis);
        // Time for one report, and too little for the agent to find its channel silent.
        world.runUntil(4600);
        first.crashWorker();
        if (restarts) {
            first.endAgent();
        }
        first.startWorker();
        if (restarts) {
            first.startAgent(cell.newestLeaderNotice());
        }
        world.runUntil(5500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", TASKS, 0));
        world.runUntil(4000 + heldMillis + 3000);
        return cell;
    }

    private static List<String> playAll(boolean restarts) {
        List<String> found = new ArrayList<>();
        for (long held = FIRST_HELD_MILLIS; held <= LAST_HELD_MILLIS; held += STEP_MILLIS) {
            SimulatedCell cell = play(held, restarts);
            for (String one : cell.getInvariantChecker().finish()) {
                found.add("held up by " + held + ": " + one);
            }
            assertTrue(cell.getInvariantChecker().countStarts() >= TASKS, "all tasks began");
        }
        return found;
    }

    @Test
    public void anEndedIncarnationDoesNotReplaceTheCurrentOne() {
        assertEquals(List.of(), playAll(true));
    }

    @Test
    public void anOvertakenReportDoesNotReplaceTheCurrentIncarnation() {
        assertEquals(List.of(), playAll(false));
    }
}
