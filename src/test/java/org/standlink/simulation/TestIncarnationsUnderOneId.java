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
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.TaskName;

/**
 * Tests that what is known of a worker is not taken for known of its next life under the same id.
 *
 * <p>Seen: a worker crashed and started again under its id. Tasks that were done there began again
 * elsewhere, two seconds after their ends had been noted. Tasks that were to last, and that had
 * been at work there, did not run again at all.
 *
 * <p>How it came about: the numbers of a worker's ends start anew with each life. The agent went on
 * telling the worker that its ends up to the last recorded one of its former life were recorded, so
 * it forgot as many of its own before anybody had heard of them; the leader took their runs for
 * ones that stand still and gave them to others. What had run in the former life was taken to be at
 * work still, and nothing ever asked the worker for it again.
 *
 * <p>Cause: an id was taken for a life, by the agent and by the leader.
 *
 * <p>Proof: with 17 ends recorded before the crash, the first end of the new life that the leader
 * heard of was its 18th, and the worker's clock seemed to jump ahead by 1,641 s.
 */
public class TestIncarnationsUnderOneId {

    private static final long CRASH_AT_MILLIS = 5000;
    private static final long FIRST_BACK_MILLIS = 50;
    private static final long LAST_BACK_MILLIS = 2000;
    private static final long STEP_MILLIS = 150;
    private static final long BOUND_MILLIS = 6000;
    private static final int BEFORE = 5;
    private static final int AFTER = 4;

    private static SimulatedCell cell() {
        SimulationEnvironment world = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(world, 2, false);
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        world.runUntil(1500);
        return cell;
    }

    private static void startAgain(SimulatedCell cell, long backMillis) {
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS);
        cell.getMachines().forEach(SimulatedMachine::crashWorker);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS + backMillis);
        cell.getMachines().forEach(SimulatedMachine::startWorker);
    }

    private static JobDefinition submit(SimulatedCell cell, int number, int tasks, long millis) {
        JobDefinition job =
                SimulatedCallers.createJob(String.format("%016x", number), tasks, millis);
        cell.getCallers().submit(job);
        return job;
    }

    /** Several jobs end before the crash, so that numbers of ends are recorded of both workers. */
    private static List<String> playShortJobs(long backMillis) {
        SimulatedCell cell = cell();
        SimulationEnvironment world = cell.getEnvironment();
        List<JobDefinition> jobs = new ArrayList<>();
        for (int i = 0; i < BEFORE; i++) {
            jobs.add(submit(cell, i + 1, 4, 200));
            world.runUntil(1500 + 600 * (i + 1));
        }
        startAgain(cell, backMillis);
        for (int i = 0; i < AFTER; i++) {
            jobs.add(submit(cell, BEFORE + i + 1, 2, 300));
            world.runUntil(CRASH_AT_MILLIS + backMillis + 500 * (i + 1));
        }
        world.runUntil(CRASH_AT_MILLIS + backMillis + 10_000);
        List<Optional<JobState>> states = new ArrayList<>();
        jobs.forEach(job -> cell.getCallers().queryState(job.id(), states::add));
        world.runUntil(world.elapsed() + 1000);
        List<String> found = new ArrayList<>(cell.getInvariantChecker().finish());
        if (!states.stream().allMatch(Optional.of(JobState.COMPLETED)::equals)) {
            found.add("states " + states);
        }
        return found;
    }

    private static List<TaskName> idleAfter(long backMillis) {
        SimulatedCell cell = cell();
        JobDefinition job = submit(cell, 1, 6, 0);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS - 100);
        List<TaskName> tasks = SimulatedCallers.listTasks(job);
        assertTrue(
                tasks.stream().allMatch(cell.getInvariantChecker()::isRunning), "all are at work");
        startAgain(cell, backMillis);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS + backMillis + BOUND_MILLIS);
        assertEquals(List.of(), cell.getInvariantChecker().finish());
        return tasks.stream().filter(task -> !cell.getInvariantChecker().isRunning(task)).toList();
    }

    @Test
    public void tasksCompletedAfterAWorkerRestartAreNotStartedAgain() {
        List<String> found = new ArrayList<>();
        for (long back = FIRST_BACK_MILLIS; back <= LAST_BACK_MILLIS; back += STEP_MILLIS) {
            for (String one : playShortJobs(back)) {
                found.add("back after " + back + ": " + one);
            }
        }
        assertEquals(List.of(), found);
    }

    @Test
    public void longRunningTasksRunAgainAfterAWorkerRestart() {
        for (long back = FIRST_BACK_MILLIS; back <= LAST_BACK_MILLIS; back += STEP_MILLIS) {
            assertEquals(List.of(), idleAfter(back), "back after " + back);
        }
    }
}
