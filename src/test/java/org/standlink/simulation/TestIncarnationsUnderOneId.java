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
 * Tests that the state of a worker is not taken for that of its next incarnation under the same id.
 *
 * <p>Guards against two faults after a worker crashed and restarted under its id: completed tasks
 * started again elsewhere, two seconds after their ends had been recorded, and long-running tasks
 * that had run there were never started again.
 *
 * <p>The numbers of a worker's ends restart with each incarnation. The agent went on acknowledging
 * the ends up to the last recorded one of the former incarnation, so the worker discarded as many
 * of its own before they were reported; the leader took their runs for stalled and assigned the
 * tasks elsewhere. Runs of the former incarnation were considered still running and were not
 * requested again. With 17 ends recorded before the crash, the first end of the new incarnation
 * that the leader received was its 18th, and the clock of the worker seemed to jump ahead by 1,641
 * seconds. The cause was that agent and leader identified an incarnation by the id of its worker.
 */
public class TestIncarnationsUnderOneId {

    private static final long CRASH_AT_MILLIS = 5000;
    private static final long MIN_RESTART_MILLIS = 50;
    private static final long MAX_RESTART_MILLIS = 2000;
    private static final long STEP_MILLIS = 150;
    private static final long MAX_RECOVERY_MILLIS = 6000;
    private static final long LOST_REPORTS_MILLIS = 1500;
    private static final int JOBS_BEFORE_CRASH = 5;
    private static final int JOBS_AFTER_CRASH = 4;

    private static SimulatedCell startCell() {
        SimulationEnvironment environment = new SimulationEnvironment();
        SimulatedCell cell = new SimulatedCell(environment, 2, false);
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        environment.runUntil(1500);
        return cell;
    }

    private static void restartWorkers(SimulatedCell cell, long restartMillis) {
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS);
        cell.getMachines().forEach(SimulatedMachine::crashWorker);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS + restartMillis);
        cell.getMachines().forEach(SimulatedMachine::startWorker);
    }

    private static JobDefinition submit(SimulatedCell cell, int number, int tasks, long millis) {
        JobDefinition job =
                SimulatedCallers.createJob(String.format("%016x", number), tasks, millis);
        cell.getCallers().submit(job);
        return job;
    }

    /** Completes several jobs before the crash, so that ends of both workers are recorded. */
    private static List<String> runShortJobs(long restartMillis) {
        SimulatedCell cell = startCell();
        SimulationEnvironment environment = cell.getEnvironment();
        List<JobDefinition> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS_BEFORE_CRASH; i++) {
            jobs.add(submit(cell, i + 1, 4, 200));
            environment.runUntil(1500 + 600 * (i + 1));
        }
        restartWorkers(cell, restartMillis);
        for (int i = 0; i < JOBS_AFTER_CRASH; i++) {
            jobs.add(submit(cell, JOBS_BEFORE_CRASH + i + 1, 2, 300));
            environment.runUntil(CRASH_AT_MILLIS + restartMillis + 500 * (i + 1));
        }
        environment.runUntil(CRASH_AT_MILLIS + restartMillis + 10_000);
        List<Optional<JobState>> states = new ArrayList<>();
        jobs.forEach(job -> cell.getCallers().queryState(job.id(), states::add));
        environment.runUntil(environment.elapsed() + 1000);
        List<String> violations = new ArrayList<>(cell.getInvariantChecker().finish());
        if (!states.stream().allMatch(Optional.of(JobState.COMPLETED)::equals)) {
            violations.add("states " + states);
        }
        return violations;
    }

    private static List<TaskName> listIdleTasks(long restartMillis) {
        SimulatedCell cell = startCell();
        JobDefinition job = submit(cell, 1, 6, 0);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS - 100);
        List<TaskName> tasks = SimulatedCallers.listTasks(job);
        assertTrue(
                tasks.stream().allMatch(cell.getInvariantChecker()::isRunning),
                "all tasks are running");
        restartWorkers(cell, restartMillis);
        cell.getEnvironment().runUntil(CRASH_AT_MILLIS + restartMillis + MAX_RECOVERY_MILLIS);
        assertEquals(List.of(), cell.getInvariantChecker().finish());
        return tasks.stream().filter(task -> !cell.getInvariantChecker().isRunning(task)).toList();
    }

    @Test
    public void tasksCompletedAfterAWorkerRestartAreNotStartedAgain() {
        List<String> violations = new ArrayList<>();
        for (long restartMillis = MIN_RESTART_MILLIS;
                restartMillis <= MAX_RESTART_MILLIS;
                restartMillis += STEP_MILLIS) {
            for (String violation : runShortJobs(restartMillis)) {
                violations.add("restarted after " + restartMillis + ": " + violation);
            }
        }
        assertEquals(List.of(), violations);
    }

    /**
     * Guards against a completed task that is started again: a renewal that was meant for the
     * former incarnation came late and made the present one discard an end that had not reached the
     * leader.
     */
    @Test
    public void anEndThatTheWorkerDiscardedUnrecordedIsStillReported() {
        SimulatedCell cell = startCell();
        JobDefinition job = submit(cell, 1, 1, 300);
        cell.getEnvironment().runUntil(1700);
        for (SimulatedMachine machine : cell.getMachines()) {
            machine.getUplink().loseMessages(LOST_REPORTS_MILLIS);
        }
        cell.getEnvironment().runUntil(2300);
        for (SimulatedMachine machine : cell.getMachines()) {
            machine.getWorkerClient().getWorker().executeLateRenewal(1);
        }
        cell.getEnvironment().runUntil(10_000);
        assertTrue(cell.getInvariantChecker().hasSucceeded(SimulatedCallers.listTasks(job).get(0)));
        assertEquals(1, cell.getInvariantChecker().countStarts());
        assertEquals(List.of(), cell.getInvariantChecker().finish());
    }

    @Test
    public void longRunningTasksRunAgainAfterAWorkerRestart() {
        for (long restartMillis = MIN_RESTART_MILLIS;
                restartMillis <= MAX_RESTART_MILLIS;
                restartMillis += STEP_MILLIS) {
            assertEquals(
                    List.of(), listIdleTasks(restartMillis), "restarted after " + restartMillis);
        }
    }
}
