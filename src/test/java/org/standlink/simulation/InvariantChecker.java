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
 * Checks the invariants of a cell against what its workers do: no two concurrent runs of a task, no
 * run after a recorded successful end, no run of a cancelled job or in an evacuated hall after some
 * time, few starts of a task that crashes its workers, and no worker over its capacity.
 */
final class InvariantChecker {

    /** How long after an acknowledged cancel a run of the job may still start. */
    private static final long MAX_START_AFTER_CANCEL_MILLIS = 3000;

    /** How much longer such a run may continue until it is stopped. */
    private static final long MAX_STOP_MILLIS = 400;

    /** How long no fault may have been active for the time limits after a cancel to apply. */
    private static final long UNIMPAIRED_MILLIS = 3000;

    /** How long after an acknowledged evacuation a run may still start in that hall. */
    private static final long MAX_START_AFTER_EVACUATION_MILLIS = 2500;

    /** Number of crashes of a task after which its further starts are counted. */
    private static final int CRASH_THRESHOLD = 3;

    /** Number of such starts that is a violation. */
    private static final int EXCESS_STARTS = 3;

    private final SimulationEnvironment environment;
    private final Map<RunId, Map<SimulatedWorker, ActiveRun>> activeRuns = new LinkedHashMap<>();
    private final List<SuccessfulEnd> successfulEnds = new ArrayList<>();
    private final Map<TaskName, List<long[]>> starts = new HashMap<>();
    private final Map<JobId, Long> cancelled = new HashMap<>();
    private final Map<HallId, Long> evacuated = new HashMap<>();
    private final List<long[]> impairments = new ArrayList<>();
    private final Map<TaskName, Integer> crashes = new HashMap<>();
    private final Map<TaskName, Integer> startsAfterCrashes = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** A run that is running on one worker. */
    private static final class ActiveRun {
        private final long startedAt;
        private final boolean delayed;
        private boolean reported;

        ActiveRun(long startedAt, boolean delayed) {
            this.startedAt = startedAt;
            this.delayed = delayed;
        }
    }

    /** The successful end of a run. */
    private static final class SuccessfulEnd {
        private final SimulatedWorker worker;
        private final long number;
        private final TaskName task;
        private final long endedAt;
        private boolean persisted;
        private boolean lapsed;

        SuccessfulEnd(SimulatedWorker worker, long number, TaskName task, long endedAt) {
            this.worker = worker;
            this.number = number;
            this.task = task;
            this.endedAt = endedAt;
        }
    }

    InvariantChecker(SimulationEnvironment environment) {
        this.environment = environment;
        environment.scheduleRepeating(50, this::checkCancelledJobs);
    }

    // -----------------------------------------------------------------------
    void recordStart(SimulatedWorker worker, RunId run, boolean delayed) {
        environment.trace(
                "STARTED " + run + " on " + worker.getIncarnation() + (delayed ? ", delayed" : ""));
        for (Map.Entry<RunId, Map<SimulatedWorker, ActiveRun>> other : activeRuns.entrySet()) {
            if (other.getKey().task().equals(run.task()) && !other.getValue().isEmpty()) {
                addViolation(
                        "TWICE "
                                + run
                                + " on "
                                + worker.getIncarnation()
                                + " beside "
                                + other.getKey());
            }
        }
        starts.computeIfAbsent(run.task(), key -> new ArrayList<>())
                .add(new long[] {environment.now(), run.number()});
        if (!delayed && crashes.getOrDefault(run.task(), 0) >= CRASH_THRESHOLD) {
            countStartAfterCrashes(run);
        }
        Long evacuatedAt = evacuated.get(worker.getHall());
        if (!delayed
                && evacuatedAt != null
                && environment.now() > evacuatedAt + MAX_START_AFTER_EVACUATION_MILLIS) {
            addViolation(
                    "EVAC "
                            + run
                            + " started "
                            + (environment.now() - evacuatedAt)
                            + " ms after the evacuation");
        }
        Long acknowledgedAt = cancelled.get(run.task().job());
        if (acknowledgedAt != null
                && !delayed
                && environment.now() > acknowledgedAt + MAX_START_AFTER_CANCEL_MILLIS
                && isUnimpaired()) {
            addViolation(
                    "UNASKED "
                            + run
                            + " started "
                            + (environment.now() - acknowledgedAt)
                            + " ms after the cancel");
        }
        activeRuns
                .computeIfAbsent(run, key -> new LinkedHashMap<>())
                .put(worker, new ActiveRun(environment.now(), delayed));
    }

    private void countStartAfterCrashes(RunId run) {
        if (startsAfterCrashes.merge(run.task(), 1, Integer::sum) == EXCESS_STARTS) {
            addViolation(
                    "CRASHES "
                            + run
                            + " started after this many crashes of its task: "
                            + CRASH_THRESHOLD);
        }
    }

    /** Records that a task crashed its worker. */
    void recordCrash(TaskName task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Counts the workers that a task has crashed. */
    int countCrashes(TaskName task) {
        return crashes.getOrDefault(task, 0);
    }

    void checkCapacity(SimulatedWorker worker, Resources usage, Resources capacity, RunId run) {
        if (!usage.fitsIn(capacity)) {
            addViolation("ROOM " + run + " on " + worker.getIncarnation() + " with " + usage);
        }
    }

    /** Records the end of a run under the number that the worker gave to it. */
    void recordEnd(SimulatedWorker worker, RunId run, RunEndKind kind, long number) {
        environment.trace("ended " + run + " on " + worker.getIncarnation() + " " + kind);
        removeActiveRun(worker, run);
        if (kind == RunEndKind.DONE) {
            successfulEnds.add(new SuccessfulEnd(worker, number, run.task(), environment.now()));
        }
    }

    /** Records that a run was lost without an end as its worker crashed. */
    void recordLostRun(SimulatedWorker worker, RunId run) {
        environment.trace("lost " + run + " on " + worker.getIncarnation());
        removeActiveRun(worker, run);
    }

    /** Records that the ends of a worker up to a number were acknowledged as persisted. */
    void recordPersistedEnds(SimulatedWorker worker, long number) {
        for (SuccessfulEnd end : successfulEnds) {
            if (end.worker == worker && end.number <= number && !end.lapsed) {
                end.persisted = true;
            }
        }
    }

    /** Records that the lease of a worker expired, which invalidates its unpersisted ends. */
    void recordLapse(SimulatedWorker worker) {
        for (SuccessfulEnd end : successfulEnds) {
            end.lapsed |= end.worker == worker && !end.persisted;
        }
    }

    void cancelAcknowledged(JobId job) {
        environment.trace("acknowledged cancel of " + job);
        cancelled.putIfAbsent(job, environment.now());
    }

    void evacuationAcknowledged(EvacuationChange change) {
        if (change.evacuated()) {
            evacuated.putIfAbsent(change.hall(), environment.now());
        } else {
            evacuated.remove(change.hall());
        }
    }

    /** Records that a fault is active for a time from now on. */
    void recordImpairment(long millis) {
        impairments.add(new long[] {environment.now(), environment.now() + millis});
    }

    // -----------------------------------------------------------------------
    boolean isCancelled(JobId job) {
        return cancelled.containsKey(job);
    }

    boolean isRunning(TaskName task) {
        return activeRuns.entrySet().stream()
                .anyMatch(e -> e.getKey().task().equals(task) && !e.getValue().isEmpty());
    }

    boolean hasSucceeded(TaskName task) {
        return successfulEnds.stream().anyMatch(end -> end.task.equals(task));
    }

    /** Counts the runs that have started. */
    int countStarts() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /** Checks what is only known at the end of the day, and returns all violations. */
    List<String> finish() {
        for (SuccessfulEnd end : successfulEnds) {
            for (long[] start : starts.getOrDefault(end.task, List.of())) {
                if (end.persisted && start[0] > end.endedAt) {
                    addViolation(
                            "AGAIN " + end.task + "#" + start[1] + " started after a recorded end");
                }
            }
        }
        return violations;
    }

    void addViolation(String violation) {
        environment.trace("!!! " + violation);
        violations.add(String.format("%.3f %s", environment.elapsed() / 1000.0, violation));
    }

    // -----------------------------------------------------------------------
    private void removeActiveRun(SimulatedWorker worker, RunId run) {
        Map<SimulatedWorker, ActiveRun> runsByWorker = activeRuns.get(run);
        if (runsByWorker != null) {
            runsByWorker.remove(worker);
        }
    }

    private boolean isUnimpaired() {
        long from = environment.now() - UNIMPAIRED_MILLIS;
        return impairments.stream()
                .noneMatch(
                        impairment -> impairment[1] >= from && impairment[0] <= environment.now());
    }

    private void checkCancelledJobs() {
        if (!isUnimpaired()) {
            return;
        }
        activeRuns.forEach(
                (run, runsByWorker) ->
                        runsByWorker.values().forEach(active -> checkCancelledJob(run, active)));
    }

    private void checkCancelledJob(RunId run, ActiveRun active) {
        Long acknowledgedAt = cancelled.get(run.task().job());
        if (acknowledgedAt == null || active.reported) {
            return;
        }
        long deadline = acknowledgedAt + MAX_START_AFTER_CANCEL_MILLIS + MAX_STOP_MILLIS;
        if (active.delayed) {
            deadline = Math.max(deadline, active.startedAt + MAX_START_AFTER_CANCEL_MILLIS);
        }
        if (environment.now() > deadline) {
            active.reported = true;
            addViolation(
                    "UNASKED "
                            + run
                            + " still running "
                            + (environment.now() - acknowledgedAt)
                            + " ms after the cancel");
        }
    }
}
