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
package org.standlink.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.standlink.ordering.Timeliness;

/**
 * The backlog of a service at one time, filled by its reader and extended by the jobs that are
 * admitted until the next one is read.
 *
 * <p>Predictions treat the processors as one pool that the work ahead occupies completely. Work
 * that becomes ready only after the predicted time does not delay a job. While each step fits on
 * the processors at once, the first start is off by less than twice the longest critical path
 * ahead, and the end also by less than twice the job's own.
 *
 * <p>{@code BacklogSnapshot} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
public final class BacklogSnapshot implements Backlog {

    private final boolean known;

    /** The share of a best-effort task's demand that must be idle for it to start. */
    private final double minBestEffortShare;

    private final List<WorkerRoom> workers = new ArrayList<>();

    /** The work of tasks that reserve their processors, by priority. */
    private final NavigableMap<Integer, PendingWork> reserving = new TreeMap<>();

    /** The work of best-effort tasks, by priority. */
    private final NavigableMap<Integer, PendingWork> bestEfforts = new TreeMap<>();

    /** The work of tasks that become ready later, sorted when it is first read. */
    private final List<LaterWork> later = new ArrayList<>();

    private boolean laterSorted;

    private double reservableMilliCores;

    private double bestEffortMilliCores;

    /** The capacity of a worker, and what is free of it, in thousandths of a core. */
    private record WorkerRoom(double capacity, double free, double idle) {}

    /** Work, in thousandths of a core times milliseconds, and when it becomes ready. */
    private record LaterWork(
            PendingWork kind, Timeliness timeliness, double work, double readyInMillis) {}

    /**
     * Creates a snapshot without workers and work.
     *
     * @param known whether the workers have been reported for long enough for a prediction
     * @param minBestEffortShare the share of a best-effort task's demand that must be idle on a
     *     worker for it to start, 0 to 1
     */
    public BacklogSnapshot(boolean known, double minBestEffortShare) {
        this.known = known;
        this.minBestEffortShare = minBestEffortShare;
    }

    // -----------------------------------------------------------------------
    /**
     * Adds a usable worker.
     *
     * @param capacity its processors, in thousandths of a core
     * @param servingReserved what serving tasks reserve, in thousandths of a core
     * @param servingUsed what serving tasks are assumed to use, in thousandths of a core
     * @param free what no task reserves, in thousandths of a core
     * @param idle what all tasks are assumed to leave idle, in thousandths of a core
     */
    public void addWorker(
            double capacity, double servingReserved, double servingUsed, double free, double idle) {
        reservableMilliCores += Math.max(0, capacity - servingReserved);
        bestEffortMilliCores += Math.max(0, capacity - servingUsed);
        workers.add(new WorkerRoom(capacity, free, idle));
    }

    /**
     * Adds a run.
     *
     * @param priority the priority of its job
     * @param bestEffort whether it uses only processors that others leave idle
     * @param milliCores its demand, in thousandths of a core
     * @param remainingMillis the remaining run time, in milliseconds
     * @param runMillis the whole run time, in milliseconds
     */
    public void addRunning(
            int priority,
            boolean bestEffort,
            double milliCores,
            double remainingMillis,
            double runMillis) {
        workOf(priority, bestEffort).addRunning(milliCores, remainingMillis, runMillis);
    }

    /**
     * Adds waiting tasks of one step.
     *
     * @param priority the priority of their job
     * @param bestEffort whether they use only processors that others leave idle
     * @param timeliness how the job is expected to end
     * @param milliCores the sum of their demands, in thousandths of a core
     * @param runMillis the run time of each, in milliseconds
     * @param readyInMillis the earliest time from now at which the steps before are done, in
     *     milliseconds; 0 if the tasks are ready
     */
    public void addWaiting(
            int priority,
            boolean bestEffort,
            Timeliness timeliness,
            double milliCores,
            double runMillis,
            double readyInMillis) {
        PendingWork kind = workOf(priority, bestEffort);
        kind.addWaiting(timeliness, milliCores, runMillis, readyInMillis);
        // Jobs that will be of no use are never ahead of a new job.
        if (readyInMillis > 0 && timeliness != Timeliness.TOO_LATE) {
            later.add(new LaterWork(kind, timeliness, milliCores * runMillis, readyInMillis));
            laterSorted = false;
        }
    }

    /**
     * Records that a job was admitted to free capacity before the work was added to this snapshot.
     * Its work is added with that of the other jobs.
     *
     * @param job the job
     */
    public void addPromise(JobRequest job) {
        workOf(job.priority(), job.bestEffort()).addPromise(job);
    }

    /**
     * Adds a job that was admitted after the work was added to this snapshot.
     *
     * @param job the job
     */
    public void addAdmitted(JobRequest job) {
        workOf(job.priority(), job.bestEffort()).addAdmitted(job);
    }

    private PendingWork workOf(int priority, boolean bestEffort) {
        return (bestEffort ? bestEfforts : reserving)
                .computeIfAbsent(priority, key -> new PendingWork());
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean isKnown() {
        return known;
    }

    @Override
    public boolean hasRoom(JobRequest job) {
        if (job.taskMilliCores() <= 0) {
            return true;
        }
        double places = 0;
        for (WorkerRoom worker : workers) {
            places +=
                    job.startsBestEffort()
                            ? countPlaces(
                                    worker.idle(),
                                    Math.min(job.taskMilliCores(), worker.capacity())
                                            * minBestEffortShare)
                            : countPlaces(worker.free(), job.taskMilliCores());
        }
        double promised = 0;
        for (PendingWork work : listAhead(job.priority(), job.startsBestEffort())) {
            promised += work.getPromisedMilliCores();
        }
        return places * job.taskMilliCores() >= promised + job.firstMilliCores();
    }

    private static double countPlaces(double room, double demand) {
        return room <= 0 ? 0 : Math.floor(room / demand);
    }

    @Override
    public double predictFirstStartMillis(JobRequest job, boolean countLate) {
        return predictStartMillis(job.priority(), job.bestEffort(), countLate);
    }

    @Override
    public double predictLastStartMillis(JobRequest job, boolean countLate) {
        double firstStart = predictFirstStartMillis(job, countLate);
        List<PendingWork> ahead = listAhead(job.priority(), job.bestEffort());
        double drain = drainMillis(ahead, job.bestEffort(), countLate, job.work());
        double end = Math.max(firstStart + job.pathMillis(), drain);
        return Math.max(firstStart, end - job.lastRunMillis());
    }

    /**
     * Predicts when a new job of a priority can start.
     *
     * @param priority the priority
     * @param bestEffort whether the job uses only processors that others leave idle
     * @param countLate whether jobs that will be late count as ahead of it
     * @return the time from now, in milliseconds; 0 if it need not wait
     */
    public double predictStartMillis(int priority, boolean bestEffort, boolean countLate) {
        List<PendingWork> ahead = listAhead(priority, bestEffort);
        double demand = 0;
        double weight = 0;
        double weightedRunMillis = 0;
        for (PendingWork work : ahead) {
            demand += work.getDemandMilliCores(countLate);
            weight += work.getWeight();
            weightedRunMillis += work.getWeightedRunMillis();
        }
        if (demand < getAvailableMilliCores(bestEffort) || weight <= 0) {
            return 0;
        }
        // When the job starts, the runs ahead of it are half done on average.
        double halfRunMillis = weightedRunMillis / weight / 2;
        return Math.max(0, drainMillis(ahead, bestEffort, countLate, 0) - halfRunMillis);
    }

    /** Computes how long the work ahead, and the job's own, occupies the processors. */
    private double drainMillis(
            List<PendingWork> ahead, boolean bestEffort, boolean countLate, double ownWork) {
        double available = getAvailableMilliCores(bestEffort);
        if (available <= 0) {
            return 0;
        }
        double work = ownWork;
        for (PendingWork pending : ahead) {
            work += pending.getRunning() + pending.getReady(countLate);
        }
        for (LaterWork next : sortLater()) {
            if (work / available < next.readyInMillis()) {
                break;
            }
            if ((countLate || next.timeliness() == Timeliness.ON_TIME)
                    && ahead.contains(next.kind())) {
                work += next.work();
            }
        }
        return work / available;
    }

    private List<LaterWork> sortLater() {
        if (!laterSorted) {
            later.sort(Comparator.comparingDouble(LaterWork::readyInMillis));
            laterSorted = true;
        }
        return later;
    }

    /** Lists the work that is not less urgent; reserving tasks ignore best-effort tasks. */
    private List<PendingWork> listAhead(int priority, boolean bestEffort) {
        List<PendingWork> ahead = new ArrayList<>(reserving.headMap(priority, true).values());
        if (bestEffort) {
            ahead.addAll(bestEfforts.headMap(priority, true).values());
        }
        return ahead;
    }

    @Override
    public double getAvailableMilliCores(boolean bestEffort) {
        return bestEffort ? bestEffortMilliCores : reservableMilliCores;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the work of a priority that waits and runs.
     *
     * @param priority the priority
     * @return the work, in thousandths of a core times milliseconds
     */
    public double getWork(int priority) {
        PendingWork none = new PendingWork();
        return reserving.getOrDefault(priority, none).getTotal()
                + bestEfforts.getOrDefault(priority, none).getTotal();
    }

    /**
     * Checks whether best-effort tasks of a priority wait or run.
     *
     * @param priority the priority
     * @return true if so
     */
    public boolean hasBestEffort(int priority) {
        return bestEfforts.containsKey(priority);
    }
}
