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
package org.standlink.benchmark;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.ordering.JobProfile;
import org.standlink.ordering.OrderMetrics;
import org.standlink.ordering.ServiceOrders;
import org.standlink.ordering.Timeliness;
import org.standlink.prediction.JobDurationPredictor;

/**
 * Runs jobs on a fixed number of slots, in the order that a leader would choose. There is nothing
 * but slots and a clock: no workers, no failures, no network.
 *
 * <p>{@code SlotSimulation} is mutable and not thread-safe.
 */
final class SlotSimulation {

    /** The interval between two scheduling rounds, in milliseconds. */
    private static final long ROUND_MILLIS = 20;

    /** The part of a job's value that does not depend on its work, as in the value tables. */
    private static final double FIXED_VALUE = 0.3;

    /** The part of a job's value in proportion to its work, as in the value tables. */
    private static final double WORK_VALUE = 0.7;

    private static final String SERVICE = "service";

    private static final String QUEUE = "heavy";

    /** The queue of the jobs, and a more urgent one without jobs. */
    private static final Configuration CONFIGURATION =
            new Configuration(
                    1,
                    List.of(
                            new QueueDefinition(
                                    "quick", "h", "/q/", SERVICE, 0, 4, 250, 1.5, false),
                            new QueueDefinition(
                                    QUEUE,
                                    "h",
                                    "/h/",
                                    SERVICE,
                                    2,
                                    3,
                                    SlotJob.TARGET_MILLIS,
                                    SlotJob.STRETCH,
                                    false)),
                    List.of(),
                    1000);

    private final List<SlotJob> jobs;

    private final ServiceOrders orders;

    private final PriorityQueue<RunningTask> running =
            new PriorityQueue<>(Comparator.comparingLong(RunningTask::endMillis));

    /** The jobs that have arrived and are not completed, in the order of arrival. */
    private final List<SlotJob> unfinished = new ArrayList<>();

    /** The number of jobs that have arrived. */
    private int arrived;

    /** A task in a slot. */
    private record RunningTask(SlotJob job, long endMillis) {}

    /**
     * The result of a run.
     *
     * @param onTime the share of the jobs that were on time
     * @param value the value of the jobs by the value tables, as a share of the full value
     */
    record Result(double onTime, double value) {}

    SlotSimulation(List<SlotJob> jobs, boolean valueDensityOrder) {
        this.jobs = jobs;
        this.orders =
                new ServiceOrders(valueDensityOrder, new JobDurationPredictor(), OrderMetrics.NONE);
    }

    /**
     * Runs all jobs to their end.
     *
     * @return the result
     */
    Result run() {
        for (long now = 0; arrived < jobs.size() || !unfinished.isEmpty(); now += ROUND_MILLIS) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                RunningTask ended = running.poll();
                ended.job().endTask(ended.endMillis());
            }
            while (arrived < jobs.size() && jobs.get(arrived).getArrivalMillis() <= now) {
                unfinished.add(jobs.get(arrived++));
            }
            runRound(now);
        }
        return rate();
    }

    private void runRound(long now) {
        unfinished.stream()
                .filter(SlotJob::isDone)
                .forEach(job -> orders.observeFinal(job.getId(), true, now));
        unfinished.removeIf(SlotJob::isDone);
        unfinished.forEach(job -> orders.observe(job.getId(), job.getProfile(QUEUE)));
        orders.beginRound(CONFIGURATION, now);
        List<SlotJob> sorted = new ArrayList<>(unfinished);
        List<JobProfile> profiles = sorted.stream().map(job -> job.getProfile(QUEUE)).toList();
        Comparator<JobProfile> order = orders.getOrder(SERVICE).forRound(profiles, now);
        sorted.sort(Comparator.comparing(job -> job.getProfile(QUEUE), order));
        for (SlotJob job : sorted) {
            while (job.hasReadyTask() && running.size() < SlotLoad.SLOTS) {
                running.add(new RunningTask(job, now + job.startTask()));
            }
            if (job.hasReadyTask()) {
                orders.recordWaiting(SERVICE, job.trueWork());
            }
        }
        orders.endRound(now);
    }

    private Result rate() {
        double meanWork = jobs.stream().mapToDouble(SlotJob::trueWork).average().orElse(1);
        double onTime = 0;
        double value = 0;
        double fullValue = 0;
        for (SlotJob job : jobs) {
            double jobValue = FIXED_VALUE + WORK_VALUE * job.trueWork() / meanWork;
            long elapsedMillis = job.getCompletedMillis() - job.getArrivalMillis();
            Timeliness timeliness = Timeliness.of(elapsedMillis, job.trueTargetMillis());
            onTime += timeliness == Timeliness.ON_TIME ? 1 : 0;
            value += timeliness.getValue() * jobValue;
            fullValue += jobValue;
        }
        return new Result(onTime / jobs.size(), value / fullValue);
    }
}
