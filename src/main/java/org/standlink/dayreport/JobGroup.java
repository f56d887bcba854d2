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
package org.standlink.dayreport;

import java.util.EnumMap;
import java.util.Map;
import org.standlink.job.JobState;

/**
 * The sums over a group of jobs: those of a queue that were accepted within a window, or all of a
 * queue.
 *
 * <p>{@code JobGroup} is not thread-safe.
 */
final class JobGroup {

    private final DurationSample firstStarts;

    private final DurationSample stepWaits;

    private final DurationSample startSpreads;

    private final DurationSample slowestWaits;

    /** The times to the end of completed jobs. */
    private final DurationSample totals;

    private final Tally<String> lostRuns = new Tally<>(LostRunCause.OTHER);

    private final Map<JobState, Long> finalJobs = new EnumMap<>(JobState.class);

    private long jobs;

    private long unstartedJobs;

    private long openJobs;

    private long runs;

    /**
     * Creates an empty group.
     *
     * @param maxDurations the number of durations of each kind that are kept for the quantiles
     */
    JobGroup(int maxDurations) {
        firstStarts = new DurationSample(maxDurations);
        stepWaits = new DurationSample(maxDurations);
        startSpreads = new DurationSample(maxDurations);
        slowestWaits = new DurationSample(maxDurations);
        totals = new DurationSample(maxDurations);
    }

    /**
     * Adds a job.
     *
     * @param job the job
     */
    void add(JobSummary job) {
        jobs++;
        runs += job.runs();
        if (job.hasStarted()) {
            firstStarts.add(job.firstStartMillis());
        } else {
            unstartedJobs++;
        }
        job.stepWaits().forEach(stepWaits::add);
        job.startSpreads().forEach(startSpreads::add);
        job.slowestWaits().forEach(slowestWaits::add);
        lostRuns.addAll(job.lostRuns());
        if (job.state() == null) {
            openJobs++;
        } else {
            finalJobs.merge(job.state(), 1L, Long::sum);
        }
        if (job.state() == JobState.COMPLETED) {
            totals.add(job.totalMillis());
        }
    }

    /**
     * Adds all jobs of another group.
     *
     * @param other the other group
     */
    void addAll(JobGroup other) {
        firstStarts.addAll(other.firstStarts);
        stepWaits.addAll(other.stepWaits);
        startSpreads.addAll(other.startSpreads);
        slowestWaits.addAll(other.slowestWaits);
        totals.addAll(other.totals);
        lostRuns.addAll(other.lostRuns);
        other.finalJobs.forEach((state, count) -> finalJobs.merge(state, count, Long::sum));
        jobs += other.jobs;
        unstartedJobs += other.unstartedJobs;
        openJobs += other.openJobs;
        runs += other.runs;
    }

    // -----------------------------------------------------------------------
    DurationSample getFirstStarts() {
        return firstStarts;
    }

    DurationSample getStepWaits() {
        return stepWaits;
    }

    DurationSample getStartSpreads() {
        return startSpreads;
    }

    DurationSample getSlowestWaits() {
        return slowestWaits;
    }

    /** Gets the times to the end of completed jobs. */
    DurationSample getTotals() {
        return totals;
    }

    Tally<String> getLostRuns() {
        return lostRuns;
    }

    /**
     * Gets the number of jobs in a final state.
     *
     * @param state the state
     */
    long countFinal(JobState state) {
        return finalJobs.getOrDefault(state, 0L);
    }

    /** Gets the number of jobs. */
    long getJobs() {
        return jobs;
    }

    /** Gets the number of jobs of which no run was assigned. */
    long getUnstartedJobs() {
        return unstartedJobs;
    }

    /** Gets the number of jobs that are not final in the log. */
    long getOpenJobs() {
        return openJobs;
    }

    /** Gets the number of assigned runs. */
    long getRuns() {
        return runs;
    }
}
