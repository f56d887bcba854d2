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
 * Tests that a start that a worker carries out late does not bring back a run that was given up.
 *
 * <p>Seen: on random days of the simulated cell, a run began seconds after its task had been done
 * elsewhere, or beside a run that had taken its place, or on a worker whose room was given again.
 *
 * <p>How it came about: a worker was silent for longer than its lease just after its agent had
 * called it to start a run. The lease was taken for over, the run was given up and the task was
 * done on another worker. Then the worker answered again and was told to hold its runs, and only
 * then it carried out the call to start.
 *
 * <p>Cause: the call named the epoch alone, which had not changed, so the worker could not tell
 * that it was void. The time up to which the call let the run go on was past, but the worker's page
 * does not say that this counts once the worker holds its runs for longer.
 *
 * <p>Proof: a real leader and two real agents; the call to start is carried out at every half
 * second from the worker's return to the longest time that such a call takes.
 */
public class TestDelayedStarts {

    private static final long SILENT_MILLIS = 7300;
    private static final long LONGEST_LATE_MILLIS = 12_000;

    private static List<String> play(long lateMillis, long workMillis) {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 2, false);
        world.runUntil(1500);
        SimulatedMachine first = cell.getMachines().get(0);
        first.getWorkerClient().makeUnresponsive(SILENT_MILLIS, lateMillis);
        world.runUntil(1550);
        cell.getCallers().submit(SimulatedCallers.createJob("aaaaaaaaaaaaaaaa", 2, workMillis));
        world.runUntil(1550 + LONGEST_LATE_MILLIS + 3000);
        return cell.getInvariantChecker().finish();
    }

    private static List<String> playAll(long workMillis) {
        List<String> found = new ArrayList<>();
        for (long late = SILENT_MILLIS; late <= LONGEST_LATE_MILLIS; late += 500) {
            for (String one : play(late, workMillis)) {
                found.add("late by " + late + ": " + one);
            }
        }
        return found;
    }

    @Test
    public void aTaskCompletedElsewhereIsNotStartedAgain() {
        assertEquals(List.of(), playAll(500));
    }

    @Test
    public void aTaskRunningElsewhereIsNotStartedTwice() {
        assertEquals(List.of(), playAll(0));
    }
}
