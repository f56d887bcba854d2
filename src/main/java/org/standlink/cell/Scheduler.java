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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.job.TaskName;
import org.standlink.process.EventLog;

/**
 * Assigns ready tasks to workers, in the order of priority and job value.
 *
 * <p>{@code Scheduler} is not thread-safe; it is confined to the leader's event loop.
 */
final class Scheduler {

    private static final EventLog LOG = EventLog.of(Scheduler.class);

    /** The interval between two log lines about waiting tasks, in milliseconds. */
    private static final long WAITING_LOG_INTERVAL_MILLIS = 2000;

    /**
     * How long nothing of a job may run before its tasks accept any free capacity, despite
     * interference and throttling, in milliseconds. With three times as long, callers wait too long
     * while there is free capacity.
     */
    private static final long INTERFERENCE_WAIT_MILLIS = 1000;

    /**
     * How long nothing of a job may run, or a suspected task wait for isolation, before a task is
     * placed despite the risk of worker crashes, in milliseconds. Three seconds are too long for a
     * caller while there is free capacity.
     */
    private static final long CRASH_RISK_WAIT_MILLIS = 2500;

    private final JobRegistry jobs;

    private final WorkerRegistry workers;

    private final Placement placement;

    /** The number of tasks without a worker at the last scheduling, by job. */
    private final Map<String, Integer> waiting = new LinkedHashMap<>();

    /** When waiting tasks were logged last, on the leader's clock. */
    private long waitingLoggedAt;

    /** A job that may have tasks to start, its queue and its value. */
    private record Candidate(JobEntry job, QueueDefinition queue, JobValue value) {}

    Scheduler(JobRegistry jobs, WorkerRegistry workers, Placement placement) {
        this.jobs = jobs;
        this.workers = workers;
        this.placement = placement;
    }

    /**
     * Assigns ready tasks to usable workers and marks their jobs as changed.
     *
     * @param configuration the configuration in force
     * @param now the time on the leader's clock, in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the assigned tasks
     */
    List<TaskEntry> schedule(Configuration configuration, long now, long wallMillis) {
        List<TaskEntry> assigned = new ArrayList<>();
        waiting.clear();
        Map<String, List<WorkerEntry>> usableByService = new LinkedHashMap<>();
        for (Candidate candidate : candidates(configuration, now)) {
            String service = candidate.queue().service();
            List<WorkerEntry> eligibleWorkers =
                    usableByService.computeIfAbsent(service, name -> workers.findUsable(name, now));
            if (!eligibleWorkers.isEmpty()) {
                assign(candidate.job(), eligibleWorkers, now, wallMillis, assigned);
            } else if (!workers.getEvacuatedHalls().isEmpty()) {
                countWaiting(candidate.job(), wallMillis);
            }
        }
        logWaiting(now);
        return assigned;
    }

    private void logWaiting(long now) {
        if (!waiting.isEmpty() && now - waitingLoggedAt >= WAITING_LOG_INTERVAL_MILLIS) {
            waitingLoggedAt = now;
            waiting.forEach(
                    (job, tasks) ->
                            LOG.info("waiting")
                                    .with("job", job)
                                    .with("tasks", tasks)
                                    .with("halls-evacuated", workers.getEvacuatedHalls())
                                    .write());
        }
    }

    private void countWaiting(JobEntry job, long wallMillis) {
        int ready = job.listReadyTasks(wallMillis).size();
        if (ready > 0) {
            waiting.put(job.getId().toString(), ready);
        }
    }

    // -----------------------------------------------------------------------
    private List<Candidate> candidates(Configuration configuration, long now) {
        List<Candidate> found = new ArrayList<>();
        for (JobEntry job : jobs.getJobs()) {
            if (!job.getState().isFinal()) {
                configuration
                        .findQueue(job.getDefinition().queue())
                        .ifPresent(
                                queue ->
                                        found.add(
                                                new Candidate(
                                                        job, queue, JobValue.of(job, queue, now))));
            }
        }
        found.sort(
                Comparator.comparingInt((Candidate candidate) -> candidate.queue().priority())
                        .thenComparing(Candidate::value)
                        .thenComparingLong(candidate -> candidate.job().getOrder()));
        return found;
    }

    private WorkerEntry choose(
            JobEntry job, TaskEntry task, List<WorkerEntry> eligibleWorkers, long now) {
        WorkerEntry worker = placement.choose(task, eligibleWorkers);
        if (worker != null) {
            return worker;
        }
        // The wait of a suspected task for isolation also counts while other tasks of its job run.
        long waited = Math.max(job.recordStarvation(now), task.getTrial().recordIsolationWait(now));
        if (waited >= INTERFERENCE_WAIT_MILLIS) {
            worker = placement.chooseAllowingInterference(task, eligibleWorkers);
        }
        boolean acceptsCrashRisk = worker == null && waited >= CRASH_RISK_WAIT_MILLIS;
        return acceptsCrashRisk && hasFreeHalf(eligibleWorkers)
                ? placement.chooseAllowingCrashRisk(task, eligibleWorkers)
                : worker;
    }

    /**
     * Checks whether at least half of the processors are free. With less, a job waits for capacity
     * as well as for isolation.
     */
    private static boolean hasFreeHalf(List<WorkerEntry> workers) {
        long capacity = 0;
        long free = 0;
        for (WorkerEntry worker : workers) {
            capacity += worker.getDescription().capacity().milliCores();
            free += worker.getFreeCapacity().milliCores();
        }
        return 2 * free >= capacity;
    }

    private void assign(
            JobEntry job,
            List<WorkerEntry> eligibleWorkers,
            long now,
            long wallMillis,
            List<TaskEntry> assigned) {
        TaskName withoutWorker = null;
        for (TaskEntry task : job.listReadyTasks(wallMillis)) {
            // All tasks of a step have the same requirements, except those that require isolation:
            // if no worker is found for one of them, none is found for the next.
            boolean stepWaits = withoutWorker != null && withoutWorker.isOfSameStep(task.getName());
            WorkerEntry worker = stepWaits ? null : choose(job, task, eligibleWorkers, now);
            if (worker == null) {
                withoutWorker =
                        task.getTrial().getCrashHistory().requiresIsolation()
                                ? withoutWorker
                                : task.getName();
                waiting.merge(job.getId().toString(), 1, Integer::sum);
                continue;
            }
            job.clearStarvation();
            task.assign(worker.getIncarnation());
            workers.addTask(task, worker.getLeaseExpiryMillis());
            if (!workers.recordAssignment(worker, now)) {
                eligibleWorkers.remove(worker);
            }
            jobs.markChanged(job);
            assigned.add(task);
            LOG.info("assigned")
                    .with("run", task.getRun())
                    .with("worker", worker.getIncarnation())
                    .with("candidates", eligibleWorkers.size())
                    .write();
        }
    }
}
