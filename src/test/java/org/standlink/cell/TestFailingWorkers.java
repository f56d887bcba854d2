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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.ordering.OrderMetrics;
import org.standlink.policy.InterferenceTable;

/**
 * Tests whether a failed run counts against its worker or against its task.
 *
 * <p>Guards against a cell in which nothing is started any more: long-running tasks that failed
 * soon after each start suspended all workers, and also were the runs that tested them.
 */
public class TestFailingWorkers {

    private static final long NOW = 1_000_000;
    private static final long STEP_MILLIS = 50;
    private static final TaskName FAILED = TaskName.parse("f.0.0.0");

    /** How soon runs fail on a worker that fails all of them, in milliseconds. */
    private static final long BAD_WORKER_MILLIS = 100;

    private static final long SOUND_RUN_MILLIS = 1000;

    /**
     * The number of sound tasks that a bad worker may fail in 20 s: three until it is suspended,
     * the five of one round that may be there by then, and one every 3 s that tests it.
     */
    private static final int MAX_SOUND_FAILURES = 3 + 5 + 7;

    private final JobRegistry jobs = new JobRegistry();
    private final WorkerRegistry workers = new WorkerRegistry(() -> EvacuatedHalls.NONE);
    private final Scheduler scheduler =
            new Scheduler(
                    jobs,
                    workers,
                    new LeastRequestedPlacement(new InterferenceTable()),
                    ContentionOptions.NONE.newOrders(OrderMetrics.NONE));

    private long now = NOW;

    /** How soon the tasks of a job fail, by its entry; other jobs are sound. */
    private final Map<JobEntry, Long> failMillis = new HashMap<>();

    private final Set<WorkerEntry> badWorkers = new HashSet<>();
    private final Map<TaskEntry, Long> startedAt = new HashMap<>();
    private final Map<TaskEntry, Long> endedAt = new HashMap<>();
    private long longestPauseMillis;
    private int jobCount;

    /** The failed runs of sound tasks, which are all on the bad worker. */
    private int soundFailures;

    private WorkerEntry worker(String id, int cores) {
        WorkerEntry worker =
                workers.getOrAdd(CellFixtures.worker(id, cores).incarnation(), Long.MAX_VALUE);
        worker.receiveReport(CellFixtures.worker(id, cores), null, true, now);
        worker.setSyncedGeneration(LeaseGeneration.of(1));
        return worker;
    }

    private JobEntry add(int count, boolean longRunning) {
        StepDefinition step = CellFixtures.step(count, List.of(), 0, longRunning);
        JobEntry job = jobs.add(CellFixtures.of(String.format("%016x", ++jobCount), step));
        job.markAccepted(now, 0);
        return job;
    }

    private List<TaskEntry> schedule(long time) {
        workers.getWorkers()
                .forEach(one -> one.receiveReport(one.getDescription(), null, true, time));
        return scheduler.schedule(CellFixtures.CONFIGURATION, time, 0);
    }

    /** Plays the workers, reports and decisions for a time. */
    private void play(long millis) {
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            List.copyOf(startedAt.keySet()).forEach(this::observe);
            for (TaskEntry task : schedule(now)) {
                startedAt.put(task, now);
                if (endedAt.containsKey(task)) {
                    longestPauseMillis = Math.max(longestPauseMillis, now - endedAt.get(task));
                }
            }
        }
    }

    private void observe(TaskEntry task) {
        WorkerEntry worker = workers.find(task.getWorker());
        long ranMillis = now - startedAt.get(task);
        long failsAfter =
                badWorkers.contains(worker)
                        ? BAD_WORKER_MILLIS
                        : failMillis.getOrDefault(jobs.find(task.getName().job()), Long.MAX_VALUE);
        if (ranMillis >= failsAfter) {
            end(task, worker, RunEndKind.FAILED);
        } else if (!task.getStep().longRunning() && ranMillis >= SOUND_RUN_MILLIS) {
            end(task, worker, RunEndKind.DONE);
        } else {
            task.getProgress().update(50, now);
            workers.getOutcomes().recordRunning(worker, task, now);
        }
    }

    private void end(TaskEntry task, WorkerEntry worker, RunEndKind kind) {
        long ranMillis = task.getProgress().getListedMillis(now);
        if (kind == RunEndKind.DONE) {
            workers.getOutcomes().recordSuccess(worker, task.getName());
        } else {
            workers.getOutcomes().recordFailure(worker, task.getName(), ranMillis, now);
            soundFailures += failMillis.containsKey(jobs.find(task.getName().job())) ? 0 : 1;
            task.getProgress().getBackoff().recordEnd(ranMillis, now);
        }
        workers.removeTask(task, worker.getIncarnation());
        task.recordEnd(worker.getIncarnation(), new RunEnd(1, task.getRun(), kind, ""));
        startedAt.remove(task);
        endedAt.put(task, now);
    }

    private static boolean isStarted(JobEntry job) {
        return job.allTasks().allMatch(TaskEntry::hasStarted);
    }

    // -----------------------------------------------------------------------
    @Test
    public void failingWorkerIsTriedWithOneTaskOnly() {
        WorkerEntry failing = worker("i-1", 8);
        for (int i = 0; i < 3; i++) {
            workers.getOutcomes().recordFailure(failing, FAILED, 0, NOW);
        }
        add(8, false);
        assertTrue(schedule(NOW + 1000).isEmpty());
        assertEquals(1, schedule(NOW + 3000).size());
        assertTrue(schedule(NOW + 3500).isEmpty());
    }

    /** Plays failing tasks of one job or of several beside sound jobs. */
    private void playFailingTasks(
            int workerCount, long millis, int tasks, boolean oneJob, boolean badWorker) {
        String scene =
                workerCount
                        + " workers, "
                        + tasks
                        + " tasks that fail after "
                        + millis
                        + " ms, one job "
                        + oneJob
                        + ", a bad worker "
                        + badWorker;
        for (int i = 0; i < workerCount; i++) {
            worker("i-" + i, 32);
        }
        if (badWorker) {
            badWorkers.add(workers.getWorkers().iterator().next());
        }
        List<JobEntry> failing = new ArrayList<>();
        for (int i = 0; i < (oneJob ? 1 : tasks); i++) {
            failing.add(add(oneJob ? tasks : 1, true));
            failMillis.put(failing.get(i), millis);
        }
        play(5000);
        for (int round = 0; round < 5; round++) {
            List<JobEntry> sound = List.of(add(2, false), add(2, false), add(1, true));
            play(3000);
            sound.forEach(job -> assertTrue(isStarted(job), () -> scene + ": " + job.getId()));
        }
        long runs =
                failing.stream()
                        .flatMap(JobEntry::allTasks)
                        .mapToLong(task -> task.getRun().number())
                        .sum();
        assertTrue(runs <= tasks * (20_000 / RestartBackoff.MAX_DELAY_MILLIS + 6L), scene);
        assertTrue(longestPauseMillis < 9000, () -> scene + ": paused " + longestPauseMillis);
        assertTrue(
                soundFailures <= MAX_SOUND_FAILURES,
                () -> scene + ": the bad worker was given " + soundFailures + " sound tasks");
    }

    @Test
    public void soundJobsRunBesideTasksThatFailByTheirOwnFault() {
        for (int workerCount : List.of(2, 3, 4, 11, 20)) {
            for (long millis : List.of(100L, 400L, 1000L, 1400L, 2500L, 3000L)) {
                for (int tasks : List.of(1, 6, 30)) {
                    for (boolean oneJob : List.of(true, false)) {
                        new TestFailingWorkers()
                                .playFailingTasks(workerCount, millis, tasks, oneJob, false);
                    }
                }
            }
        }
    }

    @Test
    public void badWorkerIsSuspendedBesideTasksThatFailByTheirOwnFault() {
        for (int workerCount : List.of(3, 4, 11, 20)) {
            for (long millis : List.of(100L, 400L, 1400L, 3000L)) {
                for (int tasks : List.of(1, 6, 30)) {
                    new TestFailingWorkers()
                            .playFailingTasks(workerCount, millis, tasks, true, true);
                }
            }
        }
    }

    /** A worker on which all runs fail is suspended at the third failure, as long as it fails. */
    @Test
    public void workerThatFailsAllRunsIsSuspendedAtOnce() {
        WorkerEntry bad = worker("i-0", 32);
        for (int i = 1; i < 11; i++) {
            worker("i-" + i, 8);
        }
        for (int i = 0; i < 3; i++) {
            assertTrue(isUsable(bad, now));
            TaskName task = new TaskName(add(8, false).getId(), 0, 0, 0);
            workers.getOutcomes().recordFailure(bad, task, BAD_WORKER_MILLIS, now);
        }
        assertFalse(isUsable(bad, now));
        assertFalse(isUsable(bad, now + 2999));
        assertTrue(isUsable(bad, now + 3000));
    }

    private boolean isUsable(WorkerEntry worker, long time) {
        worker.receiveReport(worker.getDescription(), null, true, time);
        return workers.findUsable("s", time).contains(worker);
    }

    /** Two bad workers explain each other's failures only until a task succeeds elsewhere. */
    @Test
    public void failuresCountAgainOnceATaskSucceedsElsewhere() {
        List<WorkerEntry> bad = List.of(worker("i-0", 32), worker("i-1", 32));
        WorkerEntry sound = worker("i-2", 32);
        worker("i-3", 32);
        TaskName task = new TaskName(add(8, false).getId(), 0, 0, 0);
        for (int i = 0; i < 6; i++) {
            workers.getOutcomes().recordFailure(bad.get(i % 2), task, BAD_WORKER_MILLIS, now);
        }
        assertEquals(4, workers.findUsable("s", now).size());
        workers.getOutcomes().recordSuccess(sound, task);
        assertEquals(2, workers.findUsable("s", now).size());
    }

    /** If no worker can be trusted, most of them are used nevertheless. */
    @Test
    public void atMostHalfOfTheWorkersAreSuspended() {
        for (int i = 0; i < 5; i++) {
            WorkerEntry worker = worker("i-" + i, 8);
            for (int failure = 0; failure < 3 + i; failure++) {
                TaskName task = new TaskName(add(1, false).getId(), 0, 0, 0);
                workers.getOutcomes().recordFailure(worker, task, 0, now);
            }
        }
        assertEquals(
                List.of("i-0", "i-1", "i-2"),
                workers.findUsable("s", now).stream()
                        .map(worker -> worker.getIncarnation().getId().toString())
                        .toList());
    }

    /** A task that ends at once, whether failed or done, is not started all the time. */
    @Test
    public void restartsAreDelayedUpToALimit() {
        RestartBackoff backoff = new RestartBackoff();
        long time = 0;
        for (long expected : List.of(0L, 250L, 500L, 1000L, 2000L, 2000L)) {
            backoff.recordEnd(100, time);
            assertFalse(backoff.isWaiting(time + expected));
            assertTrue(expected == 0 || backoff.isWaiting(time + expected - 1));
            time += expected + 100;
        }
        backoff.recordEnd(10_000, time);
        assertFalse(backoff.isWaiting(time), "the run had lasted");
    }
}
