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
 * Tests that no run is assigned to an incarnation of a worker for which no lease has been granted,
 * as the leader would release that run at once.
 *
 * <p>Guards against two runs of a task that start within a tenth of a second, the first one on a
 * worker that has just crashed and restarted: the store is unavailable, so the leader grants no
 * lease when the agent reports the new incarnation, but the agent still has an earlier lease. When
 * the store is back, the leader assigns a run to the new incarnation, which the agent starts at
 * once, and releases it at its next check of leases. The cause is that an agent has one lease for
 * all its workers, while the leader records one for each incarnation; that of a new incarnation has
 * expired from the beginning, and it was not checked before a run was assigned.
 *
 * <p>A real leader runs with two real agents. The store fails and recovers at many moments, some of
 * them between a report and the next check of leases.
 */
public class TestIncarnationsWithoutALease {

    private static final JobId JOB = JobId.parse("aaaaaaaaaaaaaaaa");
    private static final long QUERY_INTERVAL_MILLIS = 5;
    private static final int TASKS = 6;
    private static final long MIN_OUTAGE_START_MILLIS = 4100;
    private static final long MAX_OUTAGE_START_MILLIS = 4300;
    private static final long CRASH_AT_MILLIS = 7600;
    private static final long MIN_OUTAGE_END_MILLIS = 8900;
    private static final long MAX_OUTAGE_END_MILLIS = 9100;
    private static final long STEP_MILLIS = 25;

    private static SimulatedCell run(long outageStartMillis, long outageEndMillis) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 0, false);
        // Reports arrive half-way between two checks of leases by the leader.
        environment.runUntil(50);
        cell.addMachine(false);
        cell.addMachine(false);
        // The job fills both workers, so the runs of the first worker can only continue there.
        environment.runUntil(1500);
        cell.getCallers().submit(SimulatedCallers.createJob(JOB.toString(), TASKS, 0));
        environment.runUntil(outageStartMillis);
        cell.getStoreFaults().refuseCalls(outageEndMillis - outageStartMillis);
        environment.runUntil(CRASH_AT_MILLIS);
        SimulatedMachine first = cell.getMachines().get(0);
        first.crashWorker();
        environment.runUntil(CRASH_AT_MILLIS + 300);
        first.startWorker();
        // The leader makes decisions at each query, not only at its checks of leases.
        environment.scheduleRepeating(
                QUERY_INTERVAL_MILLIS, () -> cell.getCallers().queryState(JOB, state -> {}));
        environment.runUntil(outageEndMillis + 1500);
        return cell;
    }

    @Test
    public void noRunIsAssignedToAnIncarnationWithoutALease() {
        List<String> violations = new ArrayList<>();
        for (long outageStart = MIN_OUTAGE_START_MILLIS;
                outageStart <= MAX_OUTAGE_START_MILLIS;
                outageStart += STEP_MILLIS) {
            for (long outageEnd = MIN_OUTAGE_END_MILLIS;
                    outageEnd <= MAX_OUTAGE_END_MILLIS;
                    outageEnd += STEP_MILLIS) {
                SimulatedCell cell = run(outageStart, outageEnd);
                for (String violation : cell.getInvariantChecker().finish()) {
                    violations.add(
                            "store unavailable from "
                                    + outageStart
                                    + " to "
                                    + outageEnd
                                    + ": "
                                    + violation);
                }
                assertTrue(
                        cell.getInvariantChecker().countStarts() > TASKS,
                        "tasks were started again");
            }
        }
        assertEquals(List.of(), violations);
    }
}
