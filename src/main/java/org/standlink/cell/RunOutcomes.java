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
package org.standlink.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.job.TaskName;
import org.standlink.process.EventLog;

/**
 * Attributes failed runs to workers or to the tasks themselves, and suspends failing workers.
 *
 * <p>A worker on which several runs fail in a row is suspended, and is then tested with one run.
 * The failures of tasks that fail on other workers as well do not count, also in hindsight; they
 * count again once such a task succeeds somewhere. Whatever the evidence is, at most half of the
 * workers of a service are suspended.
 *
 * <p>{@code RunOutcomes} is not thread-safe; it is confined to the leader's event loop.
 */
final class RunOutcomes {

    /** How long a failing worker is suspended before it is tried again, in milliseconds. */
    private static final long SUSPENSION_MILLIS = 3000;

    /**
     * How long a worker that was suspended gets no further run after the one that tests it, in
     * milliseconds. Most tasks that fail do so within this time.
     */
    private static final long PROBATION_MILLIS = 1500;

    /**
     * For how long after its suspension a worker is tested only by tasks that have not failed, in
     * milliseconds: several rounds of decisions.
     */
    private static final long RESERVED_TEST_MILLIS = 500;

    /** The minimum time after which a run is taken to last, in milliseconds. */
    private static final long MIN_LASTING_MILLIS = 500;

    /** By how much a run has to outlast those that failed to count as a success. */
    private static final long LASTING_FACTOR = 2;

    /** How long the outcomes of a step without further failures are kept, in milliseconds. */
    private static final long RETENTION_MILLIS = 60_000;

    private static final EventLog LOG = EventLog.of(RunOutcomes.class);

    private final Map<StepId, StepOutcomes> steps = new HashMap<>();

    /**
     * Records a run that failed or stalled.
     *
     * @param worker the worker
     * @param task the task
     * @param ranMillis how long the run was listed, in milliseconds; 0 if it was not
     * @param now the time on the leader's clock
     */
    void recordFailure(WorkerEntry worker, TaskName task, long ranMillis, long now) {
        StepOutcomes step = steps.computeIfAbsent(StepId.of(task), id -> new StepOutcomes());
        boolean wasAtFault = step.isAtFault();
        step.recordFailure(worker.getIncarnation(), ranMillis, now);
        if (step.isAtFault() && !wasAtFault) {
            LOG.info("step-fails-on-several-workers")
                    .with("step", StepId.of(task))
                    .with("workers", step.countWorkers())
                    .write();
        }
        RunOutcomeHealth health = worker.getHealth();
        health.recordFailure(step, ranMillis, now);
        health.suspendUntil(now + SUSPENSION_MILLIS);
        if (!health.isTrusted()) {
            LOG.info("worker-set-aside")
                    .with("worker", worker.getIncarnation())
                    .with("failures", health.getConsecutiveFailures())
                    .write();
        }
    }

    /**
     * Records a run that completed.
     *
     * @param worker the worker
     * @param task the task
     */
    void recordSuccess(WorkerEntry worker, TaskName task) {
        worker.getHealth().recordSuccess();
        StepOutcomes step = steps.get(StepId.of(task));
        if (step != null) {
            step.recordSuccess();
        }
    }

    /**
     * Records that a run is running. One that lasts for longer than those that failed is evidence
     * for its step and for its worker.
     *
     * @param worker the worker
     * @param task the task, whose last run is listed by the worker
     * @param now the time on the leader's clock
     */
    void recordRunning(WorkerEntry worker, TaskEntry task, long now) {
        long ranMillis = task.getProgress().getListedMillis(now);
        StepOutcomes step = steps.get(StepId.of(task.getName()));
        if (step != null
                && step.isSuspect()
                && lasts(ranMillis, MIN_LASTING_MILLIS, step.getLongestFailureMillis())) {
            step.recordSuccess();
        }
        long longestMillis = worker.getHealth().getLongestFailureMillis();
        if (longestMillis >= 0 && lasts(ranMillis, PROBATION_MILLIS, longestMillis)) {
            worker.getHealth().recordLastingRun(now - ranMillis);
        }
    }

    private static boolean lasts(long ranMillis, long minMillis, long longestFailureMillis) {
        return ranMillis >= Math.max(minMillis, LASTING_FACTOR * longestFailureMillis);
    }

    /**
     * Records that a run was assigned to a worker. One that is not trusted gets only this one for a
     * while.
     *
     * @param worker the worker
     * @param now the time on the leader's clock
     * @return true if it may be assigned more runs
     */
    boolean recordAssignment(WorkerEntry worker, long now) {
        boolean trusted = worker.getHealth().isTrusted();
        if (!trusted) {
            worker.getHealth().suspendUntil(now + PROBATION_MILLIS);
        }
        return trusted;
    }

    /**
     * Selects the workers to which a task may be assigned. A task that may fail by its own fault
     * does not test a worker, unless no other task does so and it has no other choice.
     *
     * @param task the task
     * @param usable the workers that may be used
     * @param now the time on the leader's clock
     * @return the workers; the same list unless the task is suspect
     */
    List<WorkerEntry> selectFor(TaskName task, List<WorkerEntry> usable, long now) {
        StepOutcomes step = steps.get(StepId.of(task));
        if (step == null || !step.isSuspect()) {
            return usable;
        }
        List<WorkerEntry> trusted =
                usable.stream().filter(worker -> worker.getHealth().isTrusted()).toList();
        return trusted.isEmpty()
                ? usable.stream().filter(worker -> isLeftUntested(worker, now)).toList()
                : trusted;
    }

    private static boolean isLeftUntested(WorkerEntry worker, long now) {
        return now >= worker.getHealth().getSuspendedUntil() + RESERVED_TEST_MILLIS;
    }

    /**
     * Removes the suspended workers from those of a service, but at most half of them: if most
     * workers fail, the cause is not theirs.
     *
     * @param available the workers that may be used but for their outcomes
     * @param now the time on the leader's clock
     * @return the workers that may be used
     */
    List<WorkerEntry> withoutSuspended(List<WorkerEntry> available, long now) {
        List<WorkerEntry> suspended = new ArrayList<>();
        for (WorkerEntry worker : available) {
            if (worker.getHealth().isSuspended(now)) {
                suspended.add(worker);
            }
        }
        int most = Math.max(1, available.size() / 2);
        if (suspended.size() > most) {
            suspended.sort(
                    Comparator.comparingInt(
                            (WorkerEntry worker) -> -worker.getHealth().getConsecutiveFailures()));
            suspended = suspended.subList(0, most);
        }
        List<WorkerEntry> usable = new ArrayList<>(available);
        usable.removeAll(suspended);
        return usable;
    }

    /**
     * Removes the outcomes of steps that have not failed for a while.
     *
     * @param now the time on the leader's clock
     */
    void removeExpired(long now) {
        steps.values().removeIf(step -> now - step.getLastFailureAt() >= RETENTION_MILLIS);
    }
}
