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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.standlink.HallId;
import org.standlink.JobId;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.ordering.OrderMetrics;
import org.standlink.policy.InterferenceTable;

/**
 * Measures the time of a scheduling round in which all workers are full and best-effort tasks wait.
 *
 * <p>{@code RoundCost} is not thread-safe.
 */
public final class RoundCost {

    private static final long NOW = 1_000_000;

    /** The number of tasks of each of the two steps of a job. */
    private static final int STEP_TASKS = 20;

    /** The number of jobs whose tasks change between two rounds. */
    private static final int CHANGED_JOBS = 5;

    /**
     * The processors of a worker for each heavy task that runs there, in cores; fewer than the task
     * requests, so that no worker has idle processors left.
     */
    private static final long CORES_PER_HEAVY_TASK = 3;

    private static final int WARM_UP_ROUNDS = 300;

    private static final int MEASURED_ROUNDS = 300;

    private static final QueueDefinition QUICK =
            new QueueDefinition("quick", "h", "/q/", "s", 0, 4, 250, 1.5, false);

    private static final QueueDefinition HEAVY =
            new QueueDefinition("heavy", "h", "/h/", "s", 2, 3, 1000, 2, false);

    private static final Configuration CONFIGURATION =
            new Configuration(1, List.of(QUICK, HEAVY), List.of(), 1000);

    private final JobRegistry jobs = new JobRegistry();

    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);

    private final Scheduler scheduler;

    private final int waitingTasks;

    private RoundCost(int workerCount, int waitingTasks, boolean valueDensityOrder) {
        this.waitingTasks = waitingTasks;
        ContentionOptions options = new ContentionOptions(valueDensityOrder, false);
        this.scheduler =
                new Scheduler(
                        jobs,
                        workers,
                        new LeastRequestedPlacement(new InterferenceTable()),
                        options.newOrders(OrderMetrics.NONE));
        for (int i = 0; i < workerCount; i++) {
            addWorker(i);
        }
        addJobs();
    }

    /**
     * Measures rounds with each job's profile computed anew, as was done before profiles were
     * retained, and rounds that retain the profiles of unchanged jobs, by both orders.
     *
     * @param workerCount the number of workers
     * @param waitingTasks the minimum number of waiting tasks
     * @return the result in one line
     */
    public static String measure(int workerCount, int waitingTasks) {
        RoundCost present = new RoundCost(workerCount, waitingTasks, false);
        RoundCost contended = new RoundCost(workerCount, waitingTasks, true);
        for (RoundCost cost : List.of(present, contended)) {
            cost.measure(WARM_UP_ROUNDS, true);
            cost.measure(WARM_UP_ROUNDS, false);
        }
        return String.format(
                "%4d workers, %6d waiting tasks: %.2f ms with all profiles computed, %.2f ms with"
                        + " retained ones, %.2f ms by value density",
                workerCount,
                waitingTasks,
                present.measure(MEASURED_ROUNDS, true),
                present.measure(MEASURED_ROUNDS, false),
                contended.measure(MEASURED_ROUNDS, false));
    }

    /** Measures rounds and returns the mean duration, in milliseconds. */
    private double measure(int rounds, boolean computeAll) {
        List<JobEntry> all = List.copyOf(jobs.getJobs());
        long start = System.nanoTime();
        for (int round = 0; round < rounds; round++) {
            if (computeAll) {
                jobs.getProfiles().invalidateAll();
            }
            for (int i = 0; i < CHANGED_JOBS; i++) {
                jobs.markChanged(all.get((round * CHANGED_JOBS + i) % all.size()));
            }
            scheduler.schedule(CONFIGURATION, NOW, 0);
        }
        return (System.nanoTime() - start) / 1e6 / rounds;
    }

    // -----------------------------------------------------------------------
    private void addWorker(int index) {
        WorkerDescription description =
                new WorkerDescription(
                        WorkerIncarnation.parse("worker-" + index + "@1000"),
                        "s",
                        "10.0.0.1:" + index,
                        Resources.ofCores(index % 2 == 0 ? 32 : 48, 125_000, 0),
                        HallId.parse("hall-" + index % 3),
                        List.of(),
                        false,
                        0);
        WorkerEntry worker = workers.getOrAdd(description.incarnation(), NOW + 6000);
        worker.receiveReport(description, null, true, NOW);
        worker.setSyncedGeneration(LeaseGeneration.of(1));
    }

    /** Adds jobs that fill the workers, and others whose tasks wait. */
    private void addJobs() {
        Iterator<TaskEntry> serving =
                addJob("serving", servingStep(workers.getWorkers().size())).allTasks().iterator();
        Deque<TaskEntry> ready = new ArrayDeque<>();
        int number = 0;
        for (WorkerEntry worker : workers.getWorkers()) {
            assign(serving.next(), worker);
            long cores = worker.getDescription().capacity().milliCores() / 1000;
            for (int i = 0; i < cores / CORES_PER_HEAVY_TASK; i++) {
                if (ready.isEmpty()) {
                    ready.addAll(addHeavyJob(number++));
                }
                assign(ready.poll(), worker);
            }
        }
        for (int waiting = ready.size(); waiting < waitingTasks; waiting += STEP_TASKS) {
            addHeavyJob(number++);
        }
    }

    private void assign(TaskEntry task, WorkerEntry worker) {
        task.assign(worker.getIncarnation());
        workers.addTask(task, worker.getLeaseExpiryMillis());
    }

    private List<TaskEntry> addHeavyJob(int number) {
        return addJob("job-" + number, heavyStep(List.of()), heavyStep(List.of(0)))
                .listReadyTasks(0);
    }

    private JobEntry addJob(String id, StepDefinition... steps) {
        JobId jobId = JobId.parse(id);
        String queue = id.equals("serving") ? QUICK.name() : HEAVY.name();
        JobEntry job = jobs.add(new JobDefinition(jobId, queue, "text", List.of(steps), 0, 0, 0));
        job.markAccepted(NOW, 0);
        return job;
    }

    private static StepDefinition heavyStep(List<Integer> after) {
        return step(STEP_TASKS, Resources.ofCores(3.5, 2000, 0), 2430, after, "heavy");
    }

    private static StepDefinition servingStep(int count) {
        return step(count, Resources.ofCores(6.4, 4000, 0), 0, List.of(), "serving");
    }

    private static StepDefinition step(
            int count, Resources demand, long estimatedMillis, List<Integer> after, String image) {
        boolean serving = estimatedMillis == 0;
        return new StepDefinition(
                count,
                demand,
                estimatedMillis,
                new ArrayList<>(after),
                !serving,
                false,
                false,
                "",
                "",
                serving ? 1 : 0,
                false,
                serving,
                image,
                serving ? 20 : 0,
                !serving,
                0);
    }
}
