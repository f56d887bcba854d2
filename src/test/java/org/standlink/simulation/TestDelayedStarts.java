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
 * Tests that a start call that a worker executes late does not revive a released run.
 *
 * <p>Guards against runs that start seconds after their task has been completed elsewhere, beside
 * the run that replaced them, or on a worker whose capacity has been assigned again: a worker is
 * unresponsive for longer than its lease just after its agent has called it to start a run. The
 * lease expires, the run is released, and the task is completed on another worker. Then the worker
 * answers again, its lease is extended, and only then does it execute the call. The cause was that
 * the call named only the epoch, which had not changed, so the worker could not detect that the
 * call was superseded. The lease end in the call is past, but the specification of workers does not
 * say that it counts once the lease has been extended by another call.
 *
 * <p>A real leader runs with two real agents. The start call is executed at each half second from
 * the moment the worker answers again to the longest delay of such a call.
 */
public class TestDelayedStarts {

    private static final long UNRESPONSIVE_MILLIS = 7300;
    private static final long MAX_DELAY_MILLIS = 12_000;

    private static List<String> run(long delayMillis, long workMillis) {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 2, false);
        environment.runUntil(1500);
        SimulatedMachine first = cell.getMachines().get(0);
        first.getWorkerClient().makeUnresponsive(UNRESPONSIVE_MILLIS, delayMillis);
        environment.runUntil(1550);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, workMillis));
        environment.runUntil(1550 + MAX_DELAY_MILLIS + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> runAll(long workMillis) {
        List<String> violations = new ArrayList<>();
        for (long delayMillis = UNRESPONSIVE_MILLIS;
                delayMillis <= MAX_DELAY_MILLIS;
                delayMillis += 500) {
            for (String violation : run(delayMillis, workMillis)) {
                violations.add("delayed by " + delayMillis + ": " + violation);
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
