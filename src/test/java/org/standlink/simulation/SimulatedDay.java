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

/** One day of a cell: jobs come and are cancelled, faults happen, and then all is calm. */
final class SimulatedDay {

    private static final int MACHINES = 3;
    private static final long BEGIN_MILLIS = 1000;
    private static final long FAULTS_MILLIS = 36_000;
    private static final long CALM_MILLIS = 20_000;

    /** How long a task that lasts may take to run again after an end. */
    private static final long AGAIN_MILLIS = 6000;

    /** How long final jobs are known: on some days so short that they are forgotten. */
    private static final long SHORT_STATUS_MILLIS = 15_000;

    private static final long LONG_STATUS_MILLIS = 1_000_000;

    private static final int MOST_LASTING = 5;
    private static final int MOST_SUSPENSIONS = 4;
    private static final int MOST_THROWS = 40;
    private static final int MOST_EVACUATIONS = 4;
    private static final long LONGEST_EVACUATION_MILLIS = 12_000;
    private static final int MOST_READINGS = 120;
    private static final int NEXT_LEADER_MILLIS = 700;
    private static final long LONGEST_SUSPENSION_MILLIS = 12_000;

    private final SimulationEnvironment world;
    private final SimulatedCell cell;
    private final List<SimulatedFault> faults;
    private final Random suspensions;
    private Random thrown;
    private Random evacuations;
    private final Map<JobId, Optional<JobState>> states = new HashMap<>();

    SimulatedDay(long seed) {
        this(seed, FaultPlan.draw(seed, MACHINES, BEGIN_MILLIS + 1000, FAULTS_MILLIS));
    }

    SimulatedDay(long seed, List<SimulatedFault> faults) {
        this(seed, faults, null);
    }

    /** A day on which machines are suspended besides, as is drawn, if anything draws it. */
    SimulatedDay(long seed, List<SimulatedFault> faults, Random suspensions) {
        this.world = new SimulationEnvironment(seed);
        this.faults = faults;
        this.suspensions = suspensions;
        long statusMillis = seed % 4 == 0 ? SHORT_STATUS_MILLIS : LONG_STATUS_MILLIS;
        this.cell = new SimulatedCell(world, MACHINES, seed % 3 == 0, statusMillis);
    }

    /** Lets leaders throw besides, as is drawn. */
    SimulatedDay withThrowingLeaders(Random drawn) {
        thrown = drawn;
        return this;
    }

    /** Lets the operator evacuate halls besides, as is drawn; each machine is in one of its own. */
    SimulatedDay withEvacuations(Random drawn) {
        evacuations = drawn;
        return this;
    }

    /** Lets each worker that starts again have the id that it had. */
    SimulatedDay withKeptWorkerIds() {
        cell.getMachines().forEach(SimulatedMachine::keepWorkerId);
        return this;
    }

    List<SimulatedFault> getFaults() {
        return faults;
    }

    List<String> getTrace() {
        return world.getTrace();
    }

    int countStarts() {
        return cell.getInvariantChecker().countStarts();
    }

    /** Plays the day, and lists what was found. */
    List<String> run() {
        world.runUntil(BEGIN_MILLIS);
        new FaultInjector(cell).schedule(faults);
        if (suspensions != null) {
            planSuspensions();
        }
        if (thrown != null) {
            planThrows();
        }
        if (evacuations != null) {
            planEvacuations();
        }
        planJobs();
        world.runUntil(FAULTS_MILLIS);
        world.trace("calm");
        cell.heal();
        world.runUntil(FAULTS_MILLIS + CALM_MILLIS);
        List<JobDefinition> accepted = cell.getCallers().getAcceptedJobs();
        accepted.forEach(
                job -> cell.getCallers().queryState(job.id(), s -> states.put(job.id(), s)));
        List<TaskName> idle = idleTasks();
        List<JobDefinition> unfinished = accepted.stream().filter(job -> !isDone(job)).toList();
        world.runUntil(FAULTS_MILLIS + CALM_MILLIS + AGAIN_MILLIS);
        idle.retainAll(idleTasks());
        for (JobDefinition job : accepted) {
            // A job that waited for room may end meanwhile, and its tasks are idle before and
            // after.
            boolean ended = unfinished.contains(job) && isDone(job);
            judge(job, ended ? List.of() : idle);
        }
        return cell.getInvariantChecker().finish();
    }

    // -----------------------------------------------------------------------
    private void planSuspensions() {
        int count = 1 + suspensions.nextInt(MOST_SUSPENSIONS);
        for (int i = 0; i < count; i++) {
            long at = suspensions.nextInt((int) (FAULTS_MILLIS - LONGEST_SUSPENSION_MILLIS));
            long millis = 100 + suspensions.nextInt((int) LONGEST_SUSPENSION_MILLIS - 100);
            int which = suspensions.nextInt(MACHINES + 1);
            world.schedule(at, () -> suspend(which, millis));
        }
    }

    private void planThrows() {
        int count = 1 + thrown.nextInt(MOST_THROWS);
        for (int i = 0; i < count; i++) {
            long at = thrown.nextInt((int) FAULTS_MILLIS - 2 * NEXT_LEADER_MILLIS);
            long reading = 1 + thrown.nextInt(MOST_READINGS);
            Throwable cause =
                    thrown.nextBoolean()
                            ? new IllegalStateException("on purpose")
                            : new NoClassDefFoundError("on purpose");
            long after = 100 + thrown.nextInt(NEXT_LEADER_MILLIS);
            world.schedule(at, () -> letLeaderThrow(reading, cause, after));
        }
    }

    private void planEvacuations() {
        int count = 1 + evacuations.nextInt(MOST_EVACUATIONS);
        for (int i = 0; i < count; i++) {
            boolean all = evacuations.nextInt(4) == 0;
            int which = evacuations.nextInt(MACHINES);
            long millis = 200 + evacuations.nextInt((int) LONGEST_EVACUATION_MILLIS);
            long at = evacuations.nextInt((int) (FAULTS_MILLIS - LONGEST_EVACUATION_MILLIS - 200));
            for (SimulatedMachine machine : cell.getMachines()) {
                if (all || machine == cell.getMachines().get(which)) {
                    HallId hall = machine.getHall();
                    world.schedule(
                            at, () -> cell.applyEvacuationChange(new EvacuationChange(hall, true)));
                    world.schedule(
                            at + millis,
                            () -> cell.applyEvacuationChange(new EvacuationChange(hall, false)));
                }
            }
        }
    }

    /** The leader throws, and another one begins after a while. */
    private void letLeaderThrow(long reading, Throwable cause, long after) {
        cell.getInvariantChecker().recordImpairment(NEXT_LEADER_MILLIS * 2);
        cell.newestLeader().throwOnClockRead(reading, cause);
        world.schedule(
                after,
                () -> {
                    cell.startLeader();
                    cell.getMachines()
                            .forEach(machine -> machine.notifyOfLeader(cell.newestLeaderNotice()));
                });
    }

    /** Suspends the machine of an agent, or that of the leader. */
    private void suspend(int which, long millis) {
        world.trace("SUSPENDED " + which + " for " + millis);
        cell.getInvariantChecker().recordImpairment(millis);
        if (which == MACHINES) {
            cell.newestLeader().suspend(millis);
        } else if (cell.getMachines().get(which).hasAgent()) {
            cell.getMachines().get(which).suspendAgent(millis);
        }
    }

    private void planJobs() {
        int lasting = 0;
        long count = world.draw(8, 16);
        for (int i = 0; i < count; i++) {
            int tasks = (int) world.draw(1, 4);
            boolean lasts = world.chance(30) && lasting + tasks <= MOST_LASTING;
            lasting += lasts ? tasks : 0;
            JobDefinition job =
                    SimulatedCallers.createJob(
                            String.format("%016x", i + 1), tasks, lasts ? 0 : drawWork());
            long at = world.draw(0, FAULTS_MILLIS - BEGIN_MILLIS - 1);
            world.schedule(at, () -> cell.getCallers().submit(job));
            if (world.chance(lasts ? 60 : 40)) {
                long after = world.draw(10, lasts ? 15_000 : 5000);
                world.schedule(at + after, () -> cell.getCallers().cancel(job.id()));
            }
        }
    }

    private long drawWork() {
        return world.chance(70) ? world.draw(200, 2500) : world.draw(2500, 9000);
    }

    private boolean isDone(JobDefinition job) {
        return SimulatedCallers.listTasks(job).stream()
                .allMatch(cell.getInvariantChecker()::hasSucceeded);
    }

    private List<TaskName> idleTasks() {
        List<TaskName> idle = new ArrayList<>();
        for (JobDefinition job : cell.getCallers().getAcceptedJobs()) {
            SimulatedCallers.listTasks(job).stream()
                    .filter(task -> !cell.getInvariantChecker().isRunning(task))
                    .forEach(idle::add);
        }
        return idle;
    }

    private void judge(JobDefinition job, List<TaskName> idle) {
        Optional<JobState> told = states.get(job.id());
        List<TaskName> tasks = SimulatedCallers.listTasks(job);
        boolean cancelled = cell.getInvariantChecker().isCancelled(job.id());
        boolean done = isDone(job);
        boolean atWork = tasks.stream().anyMatch(cell.getInvariantChecker()::isRunning);
        if (told == null) {
            cell.getInvariantChecker()
                    .addViolation("STUCK the state of " + job.id() + " is not told");
            return;
        }
        JobState state = told.orElse(null);
        boolean open = state != null && !state.isFinal();
        if (open && cancelled) {
            cell.getInvariantChecker()
                    .addViolation("STUCK " + job.id() + " is " + state + " though cancelled");
        } else if (open && isIdle(job, tasks, idle)) {
            cell.getInvariantChecker().addViolation("STUCK " + job.id() + " is " + state);
        } else if (state == JobState.COMPLETED && !done) {
            cell.getInvariantChecker().addViolation("UNDONE " + job.id() + " is " + state);
        } else if (!open && atWork) {
            cell.getInvariantChecker()
                    .addViolation("STRAY " + job.id() + " is " + state + " and at work");
        }
    }

    /** A job that lasts is to have all tasks at work, another one any. */
    private static boolean isIdle(JobDefinition job, List<TaskName> tasks, List<TaskName> idle) {
        return job.steps().get(0).longRunning()
                ? tasks.stream().anyMatch(idle::contains)
                : idle.containsAll(tasks);
    }
}
