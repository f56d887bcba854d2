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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.job.EvacuationChange;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/**
 * Judges what workers did: no two runs of a task at once, none after a recorded good end, nothing
 * of a cancelled job for long, and no worker over its room.
 */
final class InvariantChecker {

    /** How long after an acknowledged cancel a run of the job may still begin. */
    private static final long CANCEL_MILLIS = 3000;

    /** How much longer it may still be at work. */
    private static final long STOP_MILLIS = 400;

    /** How long nothing may have been impaired for the times to count. */
    private static final long CALM_MILLIS = 3000;

    /** How long after an evacuation is acknowledged a run may still begin in that hall. */
    private static final long EVACUATE_MILLIS = 2500;

    /** After how many crashes under a task its starts are counted. */
    private static final int COUNTED_CRASHES = 3;

    /** How many such starts are too many. */
    private static final int TOO_MANY_STARTS = 3;

    private final SimulationEnvironment world;
    private final Map<RunId, Map<SimulatedWorker, Present>> present = new LinkedHashMap<>();
    private final List<Good> goods = new ArrayList<>();
    private final Map<TaskName, List<long[]>> starts = new HashMap<>();
    private final Map<JobId, Long> cancelled = new HashMap<>();
    private final Map<HallId, Long> evacuated = new HashMap<>();
    private final List<long[]> impairments = new ArrayList<>();
    private final Map<TaskName, Integer> crashes = new HashMap<>();
    private final Map<TaskName, Integer> startsAfterCrashes = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** A run at work. */
    private static final class Present {
        private final long begunAt;
        private final boolean late;
        private boolean blamed;

        Present(long begunAt, boolean late) {
            this.begunAt = begunAt;
            this.late = late;
        }
    }

    /** A good end. */
    private static final class Good {
        private final SimulatedWorker life;
        private final long number;
        private final TaskName task;
        private final long at;
        private boolean recorded;
        private boolean lapsed;

        Good(SimulatedWorker life, long number, TaskName task, long at) {
            this.life = life;
            this.number = number;
            this.task = task;
            this.at = at;
        }
    }

    InvariantChecker(SimulationEnvironment world) {
        this.world = world;
        world.scheduleRepeating(50, this::lookForCancelled);
    }

    // -----------------------------------------------------------------------
    void recordStart(SimulatedWorker life, RunId run, boolean late) {
        world.trace("BEGINS " + run + " on " + life.getIncarnation() + (late ? ", late" : ""));
        for (Map.Entry<RunId, Map<SimulatedWorker, Present>> other : present.entrySet()) {
            if (other.getKey().task().equals(run.task()) && !other.getValue().isEmpty()) {
                addViolation(
                        "TWICE "
                                + run
                                + " on "
                                + life.getIncarnation()
                                + " beside "
                                + other.getKey());
            }
        }
        starts.computeIfAbsent(run.task(), key -> new ArrayList<>())
                .add(new long[] {world.now(), run.number()});
        if (!late && crashes.getOrDefault(run.task(), 0) >= COUNTED_CRASHES) {
            countStartAfterCrashes(run);
        }
        Long evacuatedAt = evacuated.get(life.getHall());
        if (!late && evacuatedAt != null && world.now() > evacuatedAt + EVACUATE_MILLIS) {
            addViolation(
                    "EVAC " + run + " begins " + (world.now() - evacuatedAt) + " ms after the ack");
        }
        Long ack = cancelled.get(run.task().job());
        if (ack != null && !late && world.now() > ack + CANCEL_MILLIS && isCalm()) {
            addViolation(
                    "UNASKED " + run + " begins " + (world.now() - ack) + " ms after the cancel");
        }
        present.computeIfAbsent(run, key -> new LinkedHashMap<>())
                .put(life, new Present(world.now(), late));
    }

    private void countStartAfterCrashes(RunId run) {
        if (startsAfterCrashes.merge(run.task(), 1, Integer::sum) == TOO_MANY_STARTS) {
            addViolation(
                    "CRASHES " + run + " begins after its task has crashed " + COUNTED_CRASHES);
        }
    }

    /** Takes note that a task crashes its worker. */
    void recordCrash(TaskName task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** How many workers a task has crashed. */
    int countCrashes(TaskName task) {
        return crashes.getOrDefault(task, 0);
    }

    void checkCapacity(SimulatedWorker life, Resources taken, Resources capacity, RunId run) {
        if (!taken.fitsIn(capacity)) {
            addViolation("ROOM " + run + " on " + life.getIncarnation() + " with " + taken);
        }
    }

    void recordEnd(SimulatedWorker life, RunId run, RunEndKind kind, long number) {
        world.trace("ends " + run + " on " + life.getIncarnation() + " " + kind);
        remove(life, run);
        if (kind == RunEndKind.DONE) {
            goods.add(new Good(life, number, run.task(), world.now()));
        }
    }

    void recordLostRun(SimulatedWorker life, RunId run) {
        world.trace("dies " + run + " on " + life.getIncarnation());
        remove(life, run);
    }

    void recordPersistedEnds(SimulatedWorker life, long number) {
        for (Good good : goods) {
            if (good.life == life && good.number <= number && !good.lapsed) {
                good.recorded = true;
            }
        }
    }

    void recordLapse(SimulatedWorker life) {
        for (Good good : goods) {
            good.lapsed |= good.life == life && !good.recorded;
        }
    }

    void cancelAcknowledged(JobId job) {
        world.trace("cancel acknowledged of " + job);
        cancelled.putIfAbsent(job, world.now());
    }

    void evacuationAcknowledged(EvacuationChange change) {
        if (change.evacuated()) {
            evacuated.putIfAbsent(change.hall(), world.now());
        } else {
            evacuated.remove(change.hall());
        }
    }

    /** Takes note of an impairment from now on. */
    void recordImpairment(long millis) {
        impairments.add(new long[] {world.now(), world.now() + millis});
    }

    // -----------------------------------------------------------------------
    boolean isCancelled(JobId job) {
        return cancelled.containsKey(job);
    }

    boolean isRunning(TaskName task) {
        return present.entrySet().stream()
                .anyMatch(e -> e.getKey().task().equals(task) && !e.getValue().isEmpty());
    }

    boolean hasSucceeded(TaskName task) {
        return goods.stream().anyMatch(good -> good.task.equals(task));
    }

    /** How many runs have begun. */
    int countStarts() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /** Judges what can only be told at the end of the day, and lists all that was found. */
    List<String> finish() {
        for (Good good : goods) {
            for (long[] start : starts.getOrDefault(good.task, List.of())) {
                if (good.recorded && start[0] > good.at) {
                    addViolation(
                            "AGAIN " + good.task + "#" + start[1] + " began after a recorded end");
                }
            }
        }
        return violations;
    }

    void addViolation(String what) {
        world.trace("!!! " + what);
        violations.add(String.format("%.3f %s", world.elapsed() / 1000.0, what));
    }

    // -----------------------------------------------------------------------
    private void remove(SimulatedWorker life, RunId run) {
        Map<SimulatedWorker, Present> places = present.get(run);
        if (places != null) {
            places.remove(life);
        }
    }

    private boolean isCalm() {
        long from = world.now() - CALM_MILLIS;
        return impairments.stream().noneMatch(one -> one[1] >= from && one[0] <= world.now());
    }

    private void lookForCancelled() {
        if (!isCalm()) {
            return;
        }
        present.forEach((run, places) -> places.values().forEach(one -> look(run, one)));
    }

    private void look(RunId run, Present one) {
        Long ack = cancelled.get(run.task().job());
        if (ack == null || one.blamed) {
            return;
        }
        long bound = ack + CANCEL_MILLIS + STOP_MILLIS;
        if (one.late) {
            bound = Math.max(bound, one.begunAt + CANCEL_MILLIS);
        }
        if (world.now() > bound) {
            one.blamed = true;
            addViolation(
                    "UNASKED " + run + " at work " + (world.now() - ack) + " ms after the cancel");
        }
    }
}
