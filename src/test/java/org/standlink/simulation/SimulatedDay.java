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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.job.EvacuationChange;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.TaskName;

/**
 * One simulated day of a cell: jobs are submitted and cancelled while faults are injected; then all
 * faults are healed, and the cell gets time to recover.
 */
final class SimulatedDay {

    private static final int MACHINES = 3;
    private static final long START_MILLIS = 1000;
    private static final long FAULTS_MILLIS = 36_000;
    private static final long RECOVERY_MILLIS = 20_000;

    /** Maximum time until a long-running task runs again after one of its runs has ended. */
    private static final long MAX_RESTART_MILLIS = 6000;

    /** Short enough that states of final jobs are removed during the day. */
    private static final long SHORT_STATUS_RETENTION_MILLIS = 15_000;

    private static final long LONG_STATUS_RETENTION_MILLIS = 1_000_000;

    private static final int MAX_LONG_RUNNING_TASKS = 5;
    private static final int MAX_SUSPENSIONS = 4;
    private static final int MAX_THROWS = 40;
    private static final int MAX_EVACUATIONS = 4;
    private static final long MAX_EVACUATION_MILLIS = 12_000;
    private static final long MAX_ADDED_FAULT_MILLIS = 6000;
    private static final int MAX_CLOCK_READS = 120;
    private static final int MAX_TAKEOVER_MILLIS = 700;
    private static final long MAX_SUSPENSION_MILLIS = 12_000;

    private final SimulationEnvironment environment;
    private final SimulatedCell cell;
    private final List<SimulatedFault> faults;
    private final Random suspensionRandom;
    private Random throwRandom;
    private Random evacuationRandom;
    private final Map<JobId, Optional<JobState>> states = new HashMap<>();

    SimulatedDay(long seed) {
        this(seed, FaultPlan.draw(seed, MACHINES, START_MILLIS + 1000, FAULTS_MILLIS));
    }

    SimulatedDay(long seed, List<SimulatedFault> faults) {
        this(seed, faults, null);
    }

    /** Creates a day with the given faults, and with suspended machines if a random is given. */
    SimulatedDay(long seed, List<SimulatedFault> faults, Random suspensionRandom) {
        this.environment = new SimulationEnvironment(seed);
        this.faults = faults;
        this.suspensionRandom = suspensionRandom;
        long statusRetentionMillis =
                seed % 4 == 0 ? SHORT_STATUS_RETENTION_MILLIS : LONG_STATUS_RETENTION_MILLIS;
        this.cell = new SimulatedCell(environment, MACHINES, seed % 3 == 0, statusRetentionMillis);
    }

    /** Adds leaders that throw at drawn times. */
    SimulatedDay withThrowingLeaders(Random random) {
        throwRandom = random;
        return this;
    }

    /** Adds evacuations of halls at drawn times; each machine is in a hall of its own. */
    SimulatedDay withEvacuations(Random random) {
        evacuationRandom = random;
        return this;
    }

    /** Makes each worker keep its id when it restarts. */
    SimulatedDay withKeptWorkerIds() {
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        return this;
    }

    /** Draws additional faults of the store and changes of leader for any day. */
    static List<SimulatedFault> drawStoreFaults(Random random) {
        return FaultPlan.drawStoreFaults(
                random, START_MILLIS + 1000, FAULTS_MILLIS - MAX_ADDED_FAULT_MILLIS);
    }

    /** Draws additional workers that crash or drain just after a silence, for any day. */
    static List<SimulatedFault> drawLostWorkers(Random random) {
        return FaultPlan.drawLostWorkers(
                random, MACHINES, START_MILLIS + 1000, FAULTS_MILLIS - MAX_ADDED_FAULT_MILLIS);
    }

    List<SimulatedFault> getFaults() {
        return faults;
    }

    List<String> getTrace() {
        return environment.getTrace();
    }

    int countStarts() {
        return cell.getInvariantChecker().countStarts();
    }

    /** Runs the day and returns the violations. */
    List<String> run() {
        environment.runUntil(START_MILLIS);
        new FaultInjector(cell).schedule(faults);
        if (suspensionRandom != null) {
            planSuspensions();
        }
        if (throwRandom != null) {
            planThrows();
        }
        if (evacuationRandom != null) {
            planEvacuations();
        }
        planJobs();
        environment.runUntil(FAULTS_MILLIS);
        environment.trace("all faults healed");
        cell.heal();
        environment.runUntil(FAULTS_MILLIS + RECOVERY_MILLIS);
        List<JobDefinition> accepted = cell.getCallers().getAcceptedJobs();
        accepted.forEach(
                job -> cell.getCallers().queryState(job.id(), s -> states.put(job.id(), s)));
        List<TaskName> idle = listIdleTasks();
        List<JobDefinition> unfinished =
                accepted.stream().filter(job -> !isCompleted(job)).toList();
        environment.runUntil(FAULTS_MILLIS + RECOVERY_MILLIS + MAX_RESTART_MILLIS);
        idle.retainAll(listIdleTasks());
        for (JobDefinition job : accepted) {
            // A job that waited for capacity may complete between the two checks; its tasks are
            // idle at both.
            boolean endedMeanwhile = unfinished.contains(job) && isCompleted(job);
            checkJob(job, endedMeanwhile ? List.of() : idle);
        }
        return cell.getInvariantChecker().finish();
    }

    // -----------------------------------------------------------------------
    private void planSuspensions() {
        int count = 1 + suspensionRandom.nextInt(MAX_SUSPENSIONS);
        for (int i = 0; i < count; i++) {
            long at = suspensionRandom.nextInt((int) (FAULTS_MILLIS - MAX_SUSPENSION_MILLIS));
            long millis = 100 + suspensionRandom.nextInt((int) MAX_SUSPENSION_MILLIS - 100);
            int index = suspensionRandom.nextInt(MACHINES + 1);
            environment.schedule(at, () -> suspend(index, millis));
        }
    }

    private void planThrows() {
        int count = 1 + throwRandom.nextInt(MAX_THROWS);
        for (int i = 0; i < count; i++) {
            long at = throwRandom.nextInt((int) FAULTS_MILLIS - 2 * MAX_TAKEOVER_MILLIS);
            long clockReads = 1 + throwRandom.nextInt(MAX_CLOCK_READS);
            Throwable cause =
                    throwRandom.nextBoolean()
                            ? new IllegalStateException("on purpose")
                            : new NoClassDefFoundError("on purpose");
            long delayMillis = 100 + throwRandom.nextInt(MAX_TAKEOVER_MILLIS);
            environment.schedule(at, () -> makeLeaderThrow(clockReads, cause, delayMillis));
        }
    }

    private void planEvacuations() {
        int count = 1 + evacuationRandom.nextInt(MAX_EVACUATIONS);
        for (int i = 0; i < count; i++) {
            boolean all = evacuationRandom.nextInt(4) == 0;
            int index = evacuationRandom.nextInt(MACHINES);
            long millis = 200 + evacuationRandom.nextInt((int) MAX_EVACUATION_MILLIS);
            long at = evacuationRandom.nextInt((int) (FAULTS_MILLIS - MAX_EVACUATION_MILLIS - 200));
            for (SimulatedMachine machine : cell.getMachines()) {
                if (all || machine == cell.getMachines().get(index)) {
                    HallId hall = machine.getHall();
                    environment.schedule(
                            at, () -> cell.applyEvacuationChange(new EvacuationChange(hall, true)));
                    environment.schedule(
                            at + millis,
                            () -> cell.applyEvacuationChange(new EvacuationChange(hall, false)));
                }
            }
        }
    }

    /** Makes the leader throw, and starts another one after a delay. */
    private void makeLeaderThrow(long clockReads, Throwable cause, long delayMillis) {
        cell.getInvariantChecker().recordImpairment(MAX_TAKEOVER_MILLIS * 2);
        cell.newestLeader().throwOnClockRead(clockReads, cause);
        environment.schedule(
                delayMillis,
                () -> {
                    cell.startLeader();
                    cell.getMachines()
                            .forEach(machine -> machine.notifyOfLeader(cell.newestLeaderNotice()));
                });
    }

    /** Suspends the machine of an agent or, for the index after the last one, of the leader. */
    private void suspend(int index, long millis) {
        environment.trace("SUSPENDED " + index + " for " + millis);
        cell.getInvariantChecker().recordImpairment(millis);
        if (index == MACHINES) {
            cell.newestLeader().suspend(millis);
        } else if (cell.getMachines().get(index).hasAgent()) {
            cell.getMachines().get(index).suspendAgent(millis);
        }
    }

    private void planJobs() {
        int longRunningTasks = 0;
        long count = environment.draw(8, 16);
        for (int i = 0; i < count; i++) {
            int tasks = (int) environment.draw(1, 4);
            boolean longRunning =
                    environment.chance(30) && longRunningTasks + tasks <= MAX_LONG_RUNNING_TASKS;
            longRunningTasks += longRunning ? tasks : 0;
            JobDefinition job =
                    SimulatedCallers.createJob(
                            String.format("%016x", i + 1),
                            tasks,
                            longRunning ? 0 : drawWorkMillis());
            long at = environment.draw(0, FAULTS_MILLIS - START_MILLIS - 1);
            environment.schedule(at, () -> cell.getCallers().submit(job));
            if (environment.chance(longRunning ? 60 : 40)) {
                long delayMillis = environment.draw(10, longRunning ? 15_000 : 5000);
                environment.schedule(at + delayMillis, () -> cell.getCallers().cancel(job.id()));
            }
        }
    }

    private long drawWorkMillis() {
        return environment.chance(70) ? environment.draw(200, 2500) : environment.draw(2500, 9000);
    }

    private boolean isCompleted(JobDefinition job) {
        return SimulatedCallers.listTasks(job).stream()
                .allMatch(cell.getInvariantChecker()::hasSucceeded);
    }

    private List<TaskName> listIdleTasks() {
        List<TaskName> idle = new ArrayList<>();
        for (JobDefinition job : cell.getCallers().getAcceptedJobs()) {
            SimulatedCallers.listTasks(job).stream()
                    .filter(task -> !cell.getInvariantChecker().isRunning(task))
                    .forEach(idle::add);
        }
        return idle;
    }

    private void checkJob(JobDefinition job, List<TaskName> idle) {
        Optional<JobState> reported = states.get(job.id());
        List<TaskName> tasks = SimulatedCallers.listTasks(job);
        boolean cancelled = cell.getInvariantChecker().isCancelled(job.id());
        boolean completed = isCompleted(job);
        boolean running = tasks.stream().anyMatch(cell.getInvariantChecker()::isRunning);
        if (reported == null) {
            cell.getInvariantChecker()
                    .addViolation("STUCK the state of " + job.id() + " is not reported");
            return;
        }
        JobState state = reported.orElse(null);
        boolean open = state != null && !state.isFinal();
        if (open && cancelled) {
            cell.getInvariantChecker()
                    .addViolation("STUCK " + job.id() + " is " + state + " though cancelled");
        } else if (open && isIdle(job, tasks, idle)) {
            cell.getInvariantChecker().addViolation("STUCK " + job.id() + " is " + state);
        } else if (state == JobState.COMPLETED && !completed) {
            cell.getInvariantChecker().addViolation("UNDONE " + job.id() + " is " + state);
        } else if (!open && running) {
            cell.getInvariantChecker()
                    .addViolation("STRAY " + job.id() + " is " + state + " and still running");
        }
    }

    /** Checks whether any task of a long-running job, or every task of another job, is idle. */
    private static boolean isIdle(JobDefinition job, List<TaskName> tasks, List<TaskName> idle) {
        return job.steps().get(0).longRunning()
                ? tasks.stream().anyMatch(idle::contains)
                : idle.containsAll(tasks);
    }
}
