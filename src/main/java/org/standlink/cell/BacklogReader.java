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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.standlink.admission.BacklogSnapshot;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.ordering.Timeliness;

/**
 * Reads the backlog of a service from its jobs and workers, by the estimates of callers and the
 * reported progress of runs.
 *
 * <p>{@code BacklogReader} is not thread-safe; it is confined to the leader's event loop.
 */
final class BacklogReader {

    /**
     * How long workers must have been reported under this leader for a prediction, in milliseconds.
     * Agents report every 500 ms, and the first reports after a change of leader may take another
     * 500 ms; before that, capacity and the progress of runs are underestimated.
     */
    private static final long KNOWN_AFTER_MILLIS = 1500;

    private static final double PERCENT = 100;

    private final JobRegistry jobs;
    private final WorkerRegistry workers;

    /** The configuration in force. */
    private final Supplier<Configuration> configuration;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** Since when workers of a service have been reported, on the leader's clock. */
    private final Map<String, Long> reportedSince = new HashMap<>();

    /**
     * Creates a reader.
     *
     * @param configuration the configuration in force
     * @param wallClock the time of day, in milliseconds since 1970
     */
    BacklogReader(
            JobRegistry jobs,
            WorkerRegistry workers,
            Supplier<Configuration> configuration,
            LongSupplier wallClock) {
        this.jobs = jobs;
        this.workers = workers;
        this.configuration = configuration;
        this.wallClock = wallClock;
    }

    /**
     * Records which services have workers that are being reported.
     *
     * @param now the time on the leader's clock
     */
    void observeReports(long now) {
        Set<String> reported = new HashSet<>();
        for (WorkerEntry worker : workers.getWorkers()) {
            boolean recent =
                    now - worker.getLastReportMillis() < WorkerRegistry.REPORT_TIMEOUT_MILLIS;
            if (worker.getDescription() != null && recent) {
                reported.add(worker.getDescription().service());
            }
        }
        reportedSince.keySet().retainAll(reported);
        reported.forEach(service -> reportedSince.putIfAbsent(service, now));
    }

    /**
     * Gets the services that have workers.
     *
     * @return the services whose workers are being reported
     */
    Set<String> getServices() {
        return reportedSince.keySet();
    }

    /**
     * Finds a queue in the configuration in force.
     *
     * @param name the name
     * @return the queue, empty if there is none
     */
    Optional<QueueDefinition> findQueue(String name) {
        return configuration.get().findQueue(name);
    }

    /**
     * Lists the priorities of the queues of a service.
     *
     * @param service the service
     * @return the priorities
     */
    Set<Integer> listPriorities(String service) {
        return configuration.get().queues().stream()
                .filter(queue -> queue.service().equals(service))
                .map(QueueDefinition::priority)
                .collect(Collectors.toSet());
    }

    /**
     * Reads the capacity of a service, without its work.
     *
     * @param service the service
     * @param now the time on the leader's clock, in milliseconds
     * @return a backlog without jobs
     */
    BacklogSnapshot readCapacity(String service, long now) {
        List<WorkerEntry> usable = workers.findUsable(service, now);
        Long since = reportedSince.get(service);
        boolean known = since != null && now - since >= KNOWN_AFTER_MILLIS && !usable.isEmpty();
        BacklogSnapshot snapshot =
                new BacklogSnapshot(
                        known, LeastRequestedPlacement.MIN_BEST_EFFORT_PERCENT / PERCENT);
        usable.forEach(worker -> addWorker(snapshot, worker));
        return snapshot;
    }

    /**
     * Adds the work of a service, which visits all tasks of its unfinished jobs.
     *
     * @param snapshot the backlog to add to
     * @param service the service
     * @param now the time on the leader's clock, in milliseconds
     */
    void addWork(BacklogSnapshot snapshot, String service, long now) {
        Map<String, QueueDefinition> queues = new HashMap<>();
        configuration.get().queues().stream()
                .filter(queue -> queue.service().equals(service))
                .forEach(queue -> queues.putIfAbsent(queue.name(), queue));
        long wallMillis = wallClock.getAsLong();
        for (JobEntry job : jobs.getJobs()) {
            QueueDefinition queue = queues.get(job.getDefinition().queue());
            if (queue != null && !job.getState().isFinal()) {
                addJob(snapshot, job, queue, now, wallMillis);
            }
        }
    }

    // -----------------------------------------------------------------------
    private static void addWorker(BacklogSnapshot snapshot, WorkerEntry worker) {
        long reserved = worker.getLoad().getServingMilliCores();
        snapshot.addWorker(
                worker.getDescription().capacity().milliCores(),
                reserved,
                reserved * LeastRequestedPlacement.SERVING_USAGE_PERCENT / PERCENT,
                worker.getFreeCapacity().milliCores(),
                LeastRequestedPlacement.idleMilliCores(worker));
    }

    private static void addJob(
            BacklogSnapshot snapshot,
            JobEntry job,
            QueueDefinition queue,
            long now,
            long wallMillis) {
        List<StepDefinition> steps = job.getDefinition().steps();
        Timeliness timeliness = predictTimeliness(job, queue, now);
        for (Repetition repetition : job.getWindow().getDue(wallMillis)) {
            Iterator<TaskEntry> tasks = repetition.allTasks().iterator();
            addSteps(snapshot, steps, tasks, queue.priority(), timeliness);
        }
        int unopened = job.getWindow().countDueUnopened(wallMillis);
        if (unopened > 0) {
            addUnopened(snapshot, steps, unopened, queue.priority(), timeliness);
        }
    }

    /** Adds the tasks of repetitions that are due, and wait until earlier ones have been placed. */
    private static void addUnopened(
            BacklogSnapshot snapshot,
            List<StepDefinition> steps,
            int repetitions,
            int priority,
            Timeliness timeliness) {
        for (StepDefinition step : steps) {
            if (!step.longRunning()) {
                double milliCores =
                        (double) repetitions * step.count() * step.demand().milliCores();
                snapshot.addWaiting(
                        priority,
                        step.bestEffort(),
                        timeliness,
                        milliCores,
                        step.estimatedMillis(),
                        0);
            }
        }
    }

    private static void addSteps(
            BacklogSnapshot snapshot,
            List<StepDefinition> steps,
            Iterator<TaskEntry> tasks,
            int priority,
            Timeliness timeliness) {
        double[] doneInMillis = new double[steps.size()];
        for (int index = 0; index < doneInMillis.length; index++) {
            StepDefinition step = steps.get(index);
            double readyInMillis = 0;
            for (int predecessor : step.after()) {
                readyInMillis = Math.max(readyInMillis, doneInMillis[predecessor]);
            }
            double runMillis = addStep(snapshot, step, tasks, priority, timeliness, readyInMillis);
            doneInMillis[index] = readyInMillis + runMillis;
        }
    }

    /** Adds the tasks of a step; returns how long its longest task still runs, in milliseconds. */
    private static double addStep(
            BacklogSnapshot snapshot,
            StepDefinition step,
            Iterator<TaskEntry> tasks,
            int priority,
            Timeliness timeliness,
            double readyInMillis) {
        double milliCores = step.demand().milliCores();
        double runMillis = step.estimatedMillis();
        double longestMillis = 0;
        int waiting = 0;
        for (int count = 0; count < step.count(); count++) {
            TaskEntry task = tasks.next();
            // Serving tasks never end; they reduce the capacity instead.
            if (task.isDone() || step.longRunning()) {
                continue;
            }
            if (task.getWorker() == null) {
                waiting++;
                longestMillis = runMillis;
            } else {
                double remainingMillis = runMillis * task.getProgress().getRemainingShare();
                snapshot.addRunning(
                        priority, step.bestEffort(), milliCores, remainingMillis, runMillis);
                longestMillis = Math.max(longestMillis, remainingMillis);
            }
        }
        if (waiting > 0) {
            snapshot.addWaiting(
                    priority,
                    step.bestEffort(),
                    timeliness,
                    waiting * milliCores,
                    runMillis,
                    readyInMillis);
        }
        return longestMillis;
    }

    private static Timeliness predictTimeliness(JobEntry job, QueueDefinition queue, long now) {
        boolean unbounded =
                job.getDefinition().isTimed()
                        || job.getDefinition().steps().stream()
                                .anyMatch(StepDefinition::longRunning);
        double targetMillis =
                queue.targetMillis() + queue.stretch() * job.criticalPathMillis(false);
        double endMillis = now - job.getAcceptedAt() + job.criticalPathMillis(true);
        return unbounded ? Timeliness.ON_TIME : Timeliness.of(endMillis, targetMillis);
    }
}
