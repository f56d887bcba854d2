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
 * Assigns tasks whose turn has come to workers.
 *
 * <p>{@code Scheduler} is not thread-safe; the leader's loop owns it.
 */
final class Scheduler {

    /** The log. */
    private static final EventLog LOG = EventLog.of(Scheduler.class);

    /** The time between two tellings of how many tasks wait, in milliseconds. */
    private static final long TELL_MILLIS = 2000;

    /**
     * How long nothing of a job may run before one of its tasks takes any room, in milliseconds;
     * three times as long is too long for a caller while there is room.
     */
    private static final long MOST_STARVED_MILLIS = 1000;

    /**
     * How long nothing of a job may run, or a suspected task wait, before a task is put beside
     * those that may crash their workers, in milliseconds; three seconds are too long for a caller
     * while there is room.
     */
    private static final long LONGEST_STARVED_MILLIS = 2500;

    /** The jobs. */
    private final JobRegistry board;

    /** The workers. */
    private final WorkerRegistry workers;

    /** Chooses workers. */
    private final Placement placement;

    /** How many tasks of each job found no worker when this was told last. */
    private final Map<String, Integer> waiting = new LinkedHashMap<>();

    /** When it was told last how many tasks wait, on the leader's clock. */
    private long toldAt;

    /** A job that may have tasks to start, its queue, and what it can still reach. */
    private record Candidate(JobEntry job, QueueDefinition queue, JobValue outlook) {}

    /**
     * Constructor.
     *
     * @param board the jobs
     * @param workers the workers
     * @param placement chooses workers
     */
    Scheduler(JobRegistry board, WorkerRegistry workers, Placement placement) {
        this.board = board;
        this.workers = workers;
        this.placement = placement;
    }

    /**
     * Assigns what can be assigned.
     *
     * @param configuration the configuration in force
     * @param now the time on the leader's clock, in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the tasks that were assigned; the change is marked on the board
     */
    List<TaskEntry> schedule(Configuration configuration, long now, long wallMillis) {
        List<TaskEntry> assigned = new ArrayList<>();
        waiting.clear();
        Map<String, List<WorkerEntry>> usable = new LinkedHashMap<>();
        for (Candidate candidate : candidates(configuration, now)) {
            String service = candidate.queue().service();
            List<WorkerEntry> fit =
                    usable.computeIfAbsent(service, name -> workers.findUsable(name, now));
            if (!fit.isEmpty()) {
                assign(candidate.job(), fit, now, wallMillis, assigned);
            } else if (!workers.getEvacuatedHalls().isEmpty()) {
                countWaiting(candidate.job(), wallMillis);
            }
        }
        tellWaiting(now);
        return assigned;
    }

    private void tellWaiting(long now) {
        if (!waiting.isEmpty() && now - toldAt >= TELL_MILLIS) {
            toldAt = now;
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
        for (JobEntry job : board.getJobs()) {
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
                Comparator.comparingInt((Candidate one) -> one.queue().priority())
                        .thenComparing(Candidate::outlook)
                        .thenComparingLong(one -> one.job().getOrder()));
        return found;
    }

    private WorkerEntry choose(JobEntry job, TaskEntry task, List<WorkerEntry> fit, long now) {
        WorkerEntry worker = placement.choose(task, fit);
        if (worker != null) {
            return worker;
        }
        // A suspected task waits for a place apart while others of its job run.
        long waited = Math.max(job.recordStarvation(now), task.getTrial().recordIsolationWait(now));
        if (waited >= MOST_STARVED_MILLIS) {
            worker = placement.chooseAllowingInterference(task, fit);
        }
        boolean inNeed = worker == null && waited >= LONGEST_STARVED_MILLIS;
        return inNeed && isRoomy(fit) ? placement.chooseAllowingCrashRisk(task, fit) : worker;
    }

    /** Where more than half is taken, a job waits for room as well as for a safe place. */
    private static boolean isRoomy(List<WorkerEntry> workers) {
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
            List<WorkerEntry> fit,
            long now,
            long wallMillis,
            List<TaskEntry> assigned) {
        TaskName full = null;
        for (TaskEntry task : job.listReadyTasks(wallMillis)) {
            // The tasks of a step are alike, but for those that are to begin apart: if one finds no
            // worker, the next does not, either.
            boolean waits = full != null && full.isOfSameStep(task.getName());
            WorkerEntry worker = waits ? null : choose(job, task, fit, now);
            if (worker == null) {
                full = task.getTrial().getCrashes().requiresIsolation() ? full : task.getName();
                waiting.merge(job.getId().toString(), 1, Integer::sum);
                continue;
            }
            job.clearStarvation();
            task.assign(worker.getIncarnation());
            workers.addTask(task, worker.getLeaseExpiryMillis());
            if (!workers.recordAssignment(worker, now)) {
                fit.remove(worker);
            }
            board.markChanged(job);
            assigned.add(task);
            LOG.info("assigned")
                    .with("run", task.getRun())
                    .with("worker", worker.getIncarnation())
                    .with("candidates", fit.size())
                    .write();
        }
    }
}
