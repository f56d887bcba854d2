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
 * Tests that a delayed report of an ended agent process does not replace the current incarnation of
 * a worker by an earlier one.
 *
 * <p>Guards against two concurrent runs of a task: a report is delayed. The agent process that sent
 * it ends, the worker it names crashes, and a new process reports the next incarnation, which is
 * assigned runs. When the delayed report arrives, a leader that has discarded the ended incarnation
 * takes it for a new one, considers the current one at the same address replaced, and releases its
 * runs. Report numbers do not help, as each process has its own.
 *
 * <p>A real leader runs with real agents. Only the channel of the earlier process is delayed, by
 * various times.
 */
public class TestReportsOfAnEarlierProcess {

    private static final long MIN_DELAY_MILLIS = 2500;
    private static final long MAX_DELAY_MILLIS = 8000;
    private static final long STEP_MILLIS = 250;
    private static final int TASKS = 6;

    private static SimulatedCell run(long delayMillis, boolean restarts) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 2, false);
        SimulatedMachine first = cell.getMachines().get(0);
        environment.runUntil(4000);
        first.delayChannel(delayMillis);
        // Long enough for one report, but too short for the agent to close the channel as
        // unresponsive.
        environment.runUntil(4600);
        first.crashWorker();
        if (restarts) {
            first.endAgent();
        }
        first.startWorker();
        if (restarts) {
            first.startAgent(cell.newestLeaderNotice());
        }
        environment.runUntil(5500);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", TASKS, 0));
        environment.runUntil(4000 + delayMillis + 3000);
        return cell;
    }

    private static List<String> runAll(boolean restarts) {
        List<String> violations = new ArrayList<>();
        for (long delayMillis = MIN_DELAY_MILLIS;
                delayMillis <= MAX_DELAY_MILLIS;
                delayMillis += STEP_MILLIS) {
            SimulatedCell cell = run(delayMillis, restarts);
            for (String violation : cell.getInvariantChecker().finish()) {
                violations.add("delayed by " + delayMillis + ": " + violation);
            }
            assertTrue(cell.getInvariantChecker().countStarts() >= TASKS, "all tasks were started");
        }
        return violations;
    }

    @Test
    public void anEndedIncarnationDoesNotReplaceTheCurrentOne() {
        assertEquals(List.of(), runAll(true));
    }

    @Test
    public void anOvertakenReportDoesNotReplaceTheCurrentIncarnation() {
        assertEquals(List.of(), runAll(false));
    }
}
