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
package org.standlink.prediction;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns per queue how long jobs take, with a weight that decays with the age of a sample.
 *
 * <p>The state is one histogram of constant size per queue. It is not persisted: a new leader
 * starts from the prior.
 *
 * <p>{@code JobDurationPredictor} is not thread-safe; it is confined to the leader's event loop.
 */
public final class JobDurationPredictor implements DurationPredictor {

    /**
     * The ratio assumed before anything is learned: the reserve for failures and for waiting
     * between steps with which jobs are started without any prediction.
     */
    public static final double PRIOR_RATIO = 1.2;

    /**
     * The weight of the prior, in completed jobs. One or two unusual jobs do not change the median,
     * and a burst is noticed as soon as five of its jobs exceed the prior.
     */
    private static final double PRIOR_WEIGHT = 4;

    /**
     * The time in which the weight of a sample halves, in milliseconds. It must exceed the duration
     * of a job, or the samples of a burst would be forgotten while its last jobs still run; after a
     * few times as long, callers must not be held to a burst that is over.
     */
    private static final double HALF_LIFE_MILLIS = 30_000;

    private static final double MEDIAN = 0.5;

    private static final double HIGH = 0.8;

    private final Map<String, QueueSamples> queues = new HashMap<>();

    private Map<String, List<Double>> running = Map.of();

    /** The number of calls that changed {@link #running}. */
    private long runningVersion;

    @Override
    public void observeCompleted(String queue, double ratio, long now) {
        if (!(ratio > 0)) {
            throw new IllegalArgumentException("ratio " + ratio);
        }
        samplesOf(queue).add(ratio, now);
    }

    @Override
    public void observeRunning(Map<String, List<Double>> minimumRatios) {
        running = Map.copyOf(minimumRatios);
        runningVersion++;
    }

    @Override
    public double predictMedianRatio(String queue, long now) {
        return predict(queue, now).quantile(MEDIAN);
    }

    @Override
    public double predictHighRatio(String queue, long now) {
        return predict(queue, now).quantile(HIGH);
    }

    @Override
    public double predictShareWithin(String queue, double ratio, long now) {
        return predict(queue, now).shareWithin(ratio);
    }

    private RatioHistogram predict(String queue, long now) {
        List<Double> ratios = running.getOrDefault(queue, List.of());
        return samplesOf(queue).predict(ratios, runningVersion, now);
    }

    private QueueSamples samplesOf(String queue) {
        return queues.computeIfAbsent(queue, name -> new QueueSamples());
    }

    /** The samples of one queue, and the prediction that follows from them. */
    private static final class QueueSamples {

        private final RatioHistogram completed = new RatioHistogram(PRIOR_RATIO);

        /** Up to when the weights have decayed, on the leader's clock. */
        private long decayedAt;

        /** The completed jobs, the prior and the running jobs. */
        private final RatioHistogram prediction = new RatioHistogram(PRIOR_RATIO);

        /** The time that the prediction is for, negative if it is to be computed anew. */
        private long predictedAt = -1;

        private long predictedVersion;

        private void add(double ratio, long now) {
            decay(now);
            completed.add(ratio, 1);
            predictedAt = -1;
        }

        private RatioHistogram predict(List<Double> ratios, long version, long now) {
            if (predictedAt != now || predictedVersion != version) {
                decay(now);
                prediction.copyFrom(completed);
                prediction.add(PRIOR_RATIO, PRIOR_WEIGHT);
                double median = prediction.quantile(MEDIAN);
                ratios.stream()
                        .filter(ratio -> ratio > median)
                        .forEach(ratio -> prediction.add(ratio, 1));
                predictedAt = now;
                predictedVersion = version;
            }
            return prediction;
        }

        private void decay(long now) {
            if (now > decayedAt) {
                completed.scale(Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MILLIS));
                decayedAt = now;
            }
        }
    }
}
