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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.standlink.job.Configuration;
import org.standlink.job.JobState;
import org.standlink.job.QueueDefinition;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;
import org.standlink.ordering.JobOrder;
import org.standlink.ordering.JobProfile;
import org.standlink.ordering.OrderChange;
import org.standlink.ordering.ServiceOrders;
import org.standlink.process.EventLog;

/**
 * Assigns ready tasks to workers, in the order of priority and of the jobs' order.
 *
 * <p>{@code Scheduler} is not thread-safe; it is confined to the leader's event loop.
 */
final class Scheduler {

    private static final EventLog LOG = EventLog.of(Scheduler.class);

    /** The interval between two log lines about waiting tasks, in milliseconds. */
    private static final long WAITING_LOG_INTERVAL_MILLIS = 2000;

    /** The unit of work in log lines, in thousandths of a core times milliseconds. */
    private static final double CORE_SECOND = 1e6;

    private final JobRegistry jobs;

    private final WorkerRegistry workers;

    private final WorkerChoice choice;

    private final ServiceOrders orders;

    /** The number of tasks without a worker at the last scheduling, by job. */
    private final Map<String, Integer> waiting = new LinkedHashMap<>();

    /** When waiting tasks were logged last, on the leader's clock. */
    private long waitingLoggedAt;

    /** A job that may have tasks to start, its queue and its profile. */
    private record Candidate(JobEntry job, QueueDefinition queue, JobProfile profile) {}

    Scheduler(JobRegistry jobs, WorkerRegistry workers, Placement placement, ServiceOrders orders) {
        this.jobs = jobs;
        this.workers = workers;
        this.choice = new WorkerChoice(placement);
        this.orders = orders;
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
        choice.reset();
        Map<String, List<WorkerEntry>> usableByService = new LinkedHashMap<>();
        for (Candidate candidate : candidates(configuration, now)) {
            String service = candidate.queue().service();
            List<WorkerEntry> eligibleWorkers =
                    usableByService.computeIfAbsent(service, name -> workers.findUsable(name, now));
            if (!eligibleWorkers.isEmpty()) {
                assign(candidate, eligibleWorkers, now, wallMillis, assigned);
            } else if (!workers.getEvacuatedHalls().isEmpty()) {
                countWaiting(candidate.job(), wallMillis);
            }
        }
        orders.endRound(now).forEach(Scheduler::logOrderChange);
        logWaiting(now);
        return assigned;
    }

    private static void logOrderChange(OrderChange change) {
        LOG.info("order-changed")
                .with("service", change.service())
                .with("order", change.valueDensity() ? "value-density" : "remaining-share")
                .with("predicted-factors", change.predictedFactors())
                .with("waiting-core-seconds", Math.round(change.waitingWork() / CORE_SECOND))
                .write();
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
        Map<String, Optional<QueueDefinition>> queues = new HashMap<>();
        for (JobEntry job : jobs.getJobs()) {
            if (job.getState().isFinal()) {
                orders.observeFinal(job.getId(), job.getState() == JobState.COMPLETED, now);
                continue;
            }
            queues.computeIfAbsent(job.getDefinition().queue(), configuration::findQueue)
                    .ifPresent(queue -> found.add(newCandidate(job, queue)));
        }
        orders.beginRound(configuration, now);
        if (orders.isUsualOrderOnly()) {
            return sort(found, orders.getUsualOrder(), now);
        }
        Map<String, List<Candidate>> byService =
                found.stream()
                        .collect(
                                Collectors.groupingBy(
                                        candidate -> candidate.queue().service(),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        List<Candidate> sorted = new ArrayList<>();
        byService.forEach(
                (service, list) -> sorted.addAll(sort(list, orders.getOrder(service), now)));
        return sorted;
    }

    private Candidate newCandidate(JobEntry job, QueueDefinition queue) {
        JobProfile profile = jobs.getProfiles().get(job, queue);
        orders.observe(job.getId(), profile);
        return new Candidate(job, queue, profile);
    }

    private static List<Candidate> sort(List<Candidate> candidates, JobOrder order, long now) {
        List<JobProfile> profiles = candidates.stream().map(Candidate::profile).toList();
        candidates.sort(
                Comparator.comparingInt((Candidate candidate) -> candidate.queue().priority())
                        .thenComparing(Candidate::profile, order.forRound(profiles, now))
                        .thenComparingLong(candidate -> candidate.job().getOrder()));
        return candidates;
    }

    private void assign(
            Candidate candidate,
            List<WorkerEntry> eligibleWorkers,
            long now,
            long wallMillis,
            List<TaskEntry> assigned) {
        JobEntry job = candidate.job();
        String service = candidate.queue().service();
        TaskName withoutWorker = null;
        long room = job.getPlacementRoom();
        for (TaskEntry task : job.listReadyTasks(wallMillis)) {
            if (task.getProgress().getBackoff().isWaiting(now)) {
                continue;
            }
            // All tasks of a step have the same requirements, except those that require isolation
            // or a certain worker: if none is found for one of them, none is found for the next.
            boolean stepWaits = withoutWorker != null && withoutWorker.isOfSameStep(task.getName());
            boolean inDoubt = workers.getInDoubtRuns().containsTask(task.getName());
            WorkerEntry worker = null;
            if (room <= 0) {
                break;
            } else if (inDoubt) {
                worker = chooseWhileInDoubt(task, eligibleWorkers);
            } else if (!stepWaits) {
                worker = choose(job, task, service, eligibleWorkers, now);
            }
            if (worker == null) {
                boolean hasOwnConditions =
                        inDoubt || task.getTrial().getCrashHistory().requiresIsolation();
                withoutWorker = hasOwnConditions ? withoutWorker : task.getName();
                if (!hasOwnConditions && task.getStep().bestEffort()) {
                    orders.recordWaiting(service, JobProfiles.estimateWork(task.getStep()));
                }
                waiting.merge(job.getId().toString(), 1, Integer::sum);
                continue;
            }
            room--;
            job.clearStarvation();
            task.assign(worker.getIncarnation());
            task.getEarlierStarts().setInDoubt(inDoubt);
            workers.addTask(task, worker.getLeaseExpiryMillis());
            choice.reset();
            if (!workers.getOutcomes().recordAssignment(worker, now)) {
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

    /** Chooses a worker; what is found for a suspect task says nothing about other tasks. */
    private WorkerEntry choose(
            JobEntry job,
            TaskEntry task,
            String service,
            List<WorkerEntry> eligibleWorkers,
            long now) {
        List<WorkerEntry> selected =
                workers.getOutcomes().selectFor(task.getName(), eligibleWorkers, now);
        WorkerEntry worker = choice.choose(job, task, service, selected, now);
        if (selected != eligibleWorkers) {
            choice.reset();
        }
        return worker;
    }

    /**
     * Chooses a worker for a task of which a later incarnation of another worker may still start an
     * earlier run: only the worker that certainly refuses to do so. On any other one, two runs
     * might be at work at once.
     */
    private WorkerEntry chooseWhileInDoubt(TaskEntry task, List<WorkerEntry> eligibleWorkers) {
        WorkerIncarnation barring = task.getEarlierStarts().getBarringWorker();
        return eligibleWorkers.stream()
                .filter(worker -> worker.getIncarnation().equals(barring))
                .filter(worker -> choice.isSuitable(task, worker))
                .findFirst()
                .orElse(null);
    }
}
