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
import org.standlink.JobId;

/**
 * Tests that a worker's life that the leader came to know without granting a lease is given no run
 * that the leader then takes for over.
 *
 * <p>Seen: on random days of the simulated cell, a run began on a worker that had just crashed and
 * come back, and within a tenth of a second the next run of the task began.
 *
 * <p>How it came about: the store was away, so the leader granted nothing when the agent reported
 * the new life. The agent still had a lease of before. When the store came back, the leader gave
 * the new life a run, which the agent started at once, and with its next look at leases the leader
 * took that run for over.
 *
 * <p>Cause: an agent's lease is one for all its workers, while the leader's book has one for each
 * life, and that of a new life was past from the beginning. Nothing checked it before a run was
 * given.
 *
 * <p>Proof: a real leader and two real agents; the store goes away and comes back at many moments,
 * among them some at which it comes back between a report and the leader's next look at leases.
 */
public class TestIncarnationsWithoutALease {

    private static final JobId JOB = JobId.parse("aaaaaaaaaaaaaaaa");
    private static final long ASK_MILLIS = 5;
    private static final int TASKS = 6;
    private static final long FIRST_AWAY_MILLIS = 4100;
    private static final long LAST_AWAY_MILLIS = 4300;
    private static final long CRASH_AT_MILLIS = 7600;
    private static final long FIRST_BACK_MILLIS = 8900;
    private static final long LAST_BACK_MILLIS = 9100;
    private static final long STEP_MILLIS = 25;

    private static SimulatedCell play(long awayMillis, long backMillis) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 0, false);
        // Reports are to come half-way between the leader's looks at leases.
        world.runUntil(50);
        cell.addMachine(false);
        cell.addMachine(false);
        // The job fills both workers, so that what runs on the first can only go on there.
        world.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob(JOB.toString(), TASKS, 0));
        world.runUntil(awayMillis);
        cell.getStoreFaults().refuseCalls(backMillis - awayMillis);
        world.runUntil(CRASH_AT_MILLIS);
        SimulatedMachine first = cell.getMachines().get(0);
        first.crashWorker();
        world.runUntil(CRASH_AT_MILLIS + 300);
        first.startWorker();
        // The leader decides whenever somebody asks, not only with its looks at leases.
        world.scheduleRepeating(ASK_MILLIS, () -> cell.getCallers().queryState(JOB, state -> {}));
        world.runUntil(backMillis + 1500);
        return cell;
    }

    @Test
    public void noRunIsAssignedToAnIncarnationWithoutALease() {
        List<String> found = new ArrayList<>();
        for (long away = FIRST_AWAY_MILLIS; away <= LAST_AWAY_MILLIS; away += STEP_MILLIS) {
            for (long back = FIRST_BACK_MILLIS; back <= LAST_BACK_MILLIS; back += STEP_MILLIS) {
                SimulatedCell cell = play(away, back);
                for (String one : cell.getInvariantChecker().finish()) {
                    found.add("away at " + away + ", back at " + back + ": " + one);
                }
                assertTrue(cell.getInvariantChecker().countStarts() > TASKS, "tasks ran again");
            }
        }
        assertEquals(List.of(), found);
    }
}
