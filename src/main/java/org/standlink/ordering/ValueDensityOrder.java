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
package org.standlink.ordering;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.prediction.DurationPredictor;

/**
 * Orders jobs by the value that their callers can expect of them per remaining work, and by how
 * little time is left to complete them in time.
 *
 * <p>A job that will probably be on time counts with its full value, one that will probably be late
 * with the small value that late jobs have. Jobs that have no value left come last, in the order of
 * acceptance, so that a large job is not overtaken by later ones for ever.
 *
 * <p>{@code ValueDensityOrder} is not thread-safe, since its predictor is not; it is confined to
 * the leader's event loop.
 */
public final class ValueDensityOrder implements JobOrder {

    /** The part of a job's value that does not depend on its work, as in the value tables. */
    private static final double FIXED_VALUE = 0.3;

    /** The part of a job's value in proportion to its work, as in the value tables. */
    private static final double WORK_VALUE = 0.7;

    /**
     * The factor by which a new job must exceed the value per work of a started one to go first.
     * Estimates are off by up to half, so two jobs of equal value may seem to differ by 1.5 / 0.5.
     * To work on both would delay both: a job is of value only when all its tasks are done.
     */
    private static final double STARTED_PREFERENCE = 3;

    /**
     * The share of the predicted time in which a started job must be able to complete to count as
     * on time: its true work is two thirds of an estimate that is too high by half.
     */
    private static final double STARTED_FACTOR = 2.0 / 3;

    /**
     * The slack, as a multiple of the critical path, that lowers the rank of a job by a factor of
     * e. Larger units leave less value after short bursts, since short jobs that could wait make
     * large ones late; smaller ones leave less under lasting overload.
     */
    private static final double SLACK_UNIT = 1;

    private final DurationPredictor predictor;

    /**
     * Creates an order.
     *
     * @param predictor predicts how long jobs take
     */
    public ValueDensityOrder(DurationPredictor predictor) {
        this.predictor = predictor;
    }

    /** The place of a job in a round. */
    private record Place(boolean useful, double density) {}

    @Override
    public Comparator<JobProfile> forRound(List<JobProfile> jobs, long now) {
        Map<String, Double> meanWork = meanWorkByQueue(jobs);
        Map<JobProfile, Place> places = new IdentityHashMap<>(2 * jobs.size());
        for (JobProfile job : jobs) {
            places.put(job, place(job, meanWork.getOrDefault(job.queue(), 0.0), now));
        }
        Comparator<Place> order =
                Comparator.comparing(Place::useful).thenComparingDouble(Place::density).reversed();
        return (one, other) -> order.compare(places.get(one), places.get(other));
    }

    /**
     * Predicts whether a job will be on time if it is scheduled now.
     *
     * @param job the job
     * @param now the time on the leader's clock, in milliseconds
     * @return the predicted timeliness
     */
    public Timeliness predict(JobProfile job, long now) {
        if (job.unbounded()) {
            return Timeliness.ON_TIME;
        }
        double completionMillis = now - job.acceptedAt() + medianMillis(job, now);
        return Timeliness.of(completionMillis, job.targetMillis());
    }

    private Place place(JobProfile job, double meanWork, long now) {
        if (job.unbounded()) {
            return new Place(true, Double.POSITIVE_INFINITY);
        }
        if (predict(job, now) == Timeliness.TOO_LATE) {
            return new Place(false, 0);
        }
        double preference = job.started() ? STARTED_PREFERENCE : 1;
        double density = preference * valuePerWork(job, meanWork);
        return new Place(true, density * expectedShare(job, now) * urgency(job, now));
    }

    /** Computes the value per work, where a job of the mean work has a value of 1. */
    private static double valuePerWork(JobProfile job, double meanWork) {
        double relativeWork = job.work() == 0 ? 1 : job.work() / meanWork;
        double value = FIXED_VALUE + WORK_VALUE * relativeWork;
        return value / (relativeWork * job.remainingShare());
    }

    /** Computes which share of its full value a job can be expected to have. */
    private double expectedShare(JobProfile job, long now) {
        double onTime = shareWithin(job, job.targetMillis(), now);
        double useful = shareWithin(job, Timeliness.USEFUL_TARGET_FACTOR * job.targetMillis(), now);
        return onTime * Timeliness.ON_TIME.getValue()
                + (useful - onTime) * Timeliness.LATE.getValue();
    }

    /** Predicts the probability that a job completes within a time after its acceptance. */
    private double shareWithin(JobProfile job, double millis, long now) {
        double leftMillis = millis - (now - job.acceptedAt());
        double pathMillis = estimatedMillis(job);
        if (pathMillis == 0) {
            return leftMillis > 0 ? 1 : 0;
        }
        return predictor.predictShareWithin(job.queue(), leftMillis / pathMillis, now);
    }

    /** Computes how urgent a job is, from 1 without slack towards 0 with much slack. */
    private double urgency(JobProfile job, long now) {
        double elapsedMillis = now - job.acceptedAt();
        double slackMillis = job.targetMillis() - elapsedMillis - medianMillis(job, now);
        if (slackMillis <= 0) {
            return 1;
        }
        // Without estimates, all of the target is slack.
        double unitMillis = job.pathMillis() > 0 ? job.pathMillis() : job.targetMillis();
        return Math.exp(-slackMillis / (SLACK_UNIT * unitMillis));
    }

    /** Predicts how long a job takes if it is scheduled now, in milliseconds. */
    private double medianMillis(JobProfile job, long now) {
        return predictor.predictMedianRatio(job.queue(), now) * estimatedMillis(job);
    }

    /** Estimates the critical path that is left, in milliseconds. */
    private static double estimatedMillis(JobProfile job) {
        return (job.started() ? STARTED_FACTOR : 1) * job.remainingPathMillis();
    }

    /** Computes the mean work of the unfinished jobs that have estimates. */
    private static Map<String, Double> meanWorkByQueue(List<JobProfile> jobs) {
        Map<String, Double> work = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (JobProfile job : jobs) {
            if (!job.unbounded() && job.work() > 0) {
                work.merge(job.queue(), job.work(), Double::sum);
                counts.merge(job.queue(), 1, Integer::sum);
            }
        }
        work.replaceAll((queue, sum) -> sum / counts.get(queue));
        return work;
    }
}
