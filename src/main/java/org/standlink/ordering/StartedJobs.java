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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.JobId;
import org.standlink.prediction.DurationPredictor;

/**
 * When jobs were started, from which a predictor learns how long they take.
 *
 * <p>Jobs that an earlier leader started are ignored, since it is not known when.
 *
 * <p>{@code StartedJobs} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class StartedJobs {

    private static final long UNKNOWN = -1;

    private final DurationPredictor predictor;

    private final ValueDensityOrder order;

    private final OrderMetrics metrics;

    private final Map<JobId, ObservedJob> jobs = new HashMap<>();

    /** The number of rounds. */
    private long round;

    /** The time of the last round, on the leader's clock; tasks are started in rounds only. */
    private long lastRoundAt;

    /**
     * Creates a record without jobs.
     *
     * @param predictor learns from the jobs
     * @param order predicts the timeliness of jobs
     * @param metrics receives the predicted and the actual timeliness
     */
    StartedJobs(DurationPredictor predictor, ValueDensityOrder order, OrderMetrics metrics) {
        this.predictor = predictor;
        this.order = order;
        this.metrics = metrics;
    }

    /**
     * Observes a job that is not final; called for each in each round.
     *
     * @param id the job
     * @param profile its profile
     */
    void observe(JobId id, JobProfile profile) {
        ObservedJob job = jobs.computeIfAbsent(id, absent -> new ObservedJob(profile));
        if (profile.started() && !job.profile.started()) {
            job.start(lastRoundAt);
        }
        job.profile = profile;
        job.round = round;
    }

    /**
     * Observes a final job.
     *
     * @param id the job
     * @param completed whether it has completed rather than failed or been cancelled
     * @param now the time on the leader's clock, in milliseconds
     */
    void observeFinal(JobId id, boolean completed, long now) {
        ObservedJob job = jobs.remove(id);
        if (job == null || !completed) {
            return;
        }
        if (!job.profile.started()) {
            job.start(lastRoundAt);
        }
        if (job.isMeasured()) {
            String queue = job.profile.queue();
            predictor.observeCompleted(queue, job.ratioAt(now), now);
            double completionMillis = now - job.profile.acceptedAt();
            Timeliness actual = Timeliness.of(completionMillis, job.profile.targetMillis());
            metrics.recordCompletion(queue, job.predicted, actual);
        }
    }

    /**
     * Passes the running jobs to the predictor; called once in each round, after the observations.
     *
     * @param now the time on the leader's clock, in milliseconds
     */
    void finishObservations(long now) {
        long observedRound = round;
        jobs.values().removeIf(job -> job.round != observedRound);
        Map<String, List<Double>> ratios = new HashMap<>();
        for (ObservedJob job : jobs.values()) {
            if (job.isMeasured() && job.startedAt < now) {
                ratios.computeIfAbsent(job.profile.queue(), queue -> new ArrayList<>())
                        .add(job.ratioAt(now));
            }
        }
        predictor.observeRunning(ratios);
        lastRoundAt = now;
        round++;
    }

    /** A job that was not final in the last round. */
    private final class ObservedJob {

        private JobProfile profile;

        /** The last round in which the job was observed. */
        private long round;

        /** When the job was started, on the leader's clock; unknown if by an earlier leader. */
        private long startedAt = UNKNOWN;

        /** The timeliness predicted when the job was started, null before. */
        private Timeliness predicted;

        private ObservedJob(JobProfile profile) {
            this.profile = profile;
        }

        private void start(long now) {
            startedAt = now;
            predicted = order.predict(profile, now);
        }

        private boolean isMeasured() {
            return startedAt != UNKNOWN && !profile.unbounded() && profile.pathMillis() > 0;
        }

        private double ratioAt(long now) {
            return Math.max(1, now - startedAt) / profile.pathMillis();
        }
    }
}
