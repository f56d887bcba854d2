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
package org.standlink.policy;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns which best-effort images lengthen the tail latency of which serving images, pair by pair.
 *
 * <p>In samples from the users' platform a pair had either hardly any effect or lengthened the tail
 * latency up to fifteenfold, so each pair has one estimate from 0 (no interference) to 1 (strong
 * interference). A tail latency near or above its target raises the estimates of the colocated
 * images in proportion to their processor use and their present estimates; a tail latency well
 * below its target lowers them. {@link LearnedInterference} adds up contributions of tasks instead,
 * which such outliers distort.
 *
 * <p>{@code InterferenceTable} is thread-safe.
 */
public final class InterferenceTable {

    /**
     * The estimate of a pair that has not been observed; until it is, throttling protects the tail
     * latency of the serving image.
     */
    public static final double INITIAL_ESTIMATE = 0.4;

    /** The estimate from which a pair counts as interfering. */
    public static final double HIGH_INTERFERENCE = 0.6;

    /** The estimate below which a pair counts as not interfering. */
    public static final double LOW_INTERFERENCE = 0.2;

    /** The ratio of tail latency to target above which estimates are raised. */
    private static final double HIGH_TAIL_RATIO = 0.95;

    /** The ratio of tail latency to target below which estimates are lowered. */
    private static final double LOW_TAIL_RATIO = 0.7;

    /** The processor use from which an estimate is raised, in thousandths of a core. */
    private static final long MIN_RAISE_MILLICORES = 300;

    /** The processor use from which an estimate is lowered, in thousandths of a core. */
    private static final long MIN_LOWER_MILLICORES = 1000;

    /**
     * The fraction of the distance to 1 by which one sample raises the estimates; it is divided
     * among the images by their weights.
     */
    private static final double RAISE_FRACTION = 0.5;

    /** The fraction by which one sample lowers an estimate. */
    private static final double LOWER_FRACTION = 0.12;

    /** The step to which listed estimates are rounded. */
    private static final double ROUNDING_STEP = 0.1;

    /**
     * The estimate of one pair.
     *
     * @param serving the serving image
     * @param bestEffort the best-effort image
     * @param estimate the estimated interference, from 0 for none to 1 for strong
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(String serving, String bestEffort, double estimate) {}

    /** The estimates, by serving and then best-effort image; guarded by this. */
    private final Map<String, Map<String, Double>> estimates = new HashMap<>();

    /** The number of changes of rounded estimates; guarded by this. */
    private long version;

    /**
     * Learns from one sample of a worker.
     *
     * @param serving the serving image
     * @param ratio the ratio of its tail latency to its target
     * @param used the processor use of each colocated best-effort image, in thousandths of a core
     */
    public synchronized void observe(String serving, double ratio, Map<String, Long> used) {
        if (ratio > HIGH_TAIL_RATIO) {
            raise(serving, used);
        } else if (ratio < LOW_TAIL_RATIO) {
            used.forEach(
                    (bestEffort, milliCores) -> {
                        if (milliCores >= MIN_LOWER_MILLICORES) {
                            put(
                                    serving,
                                    bestEffort,
                                    get(serving, bestEffort) * (1 - LOWER_FRACTION));
                        }
                    });
        }
    }

    private void raise(String serving, Map<String, Long> used) {
        double totalWeight = 0;
        for (Map.Entry<String, Long> imageUse : used.entrySet()) {
            totalWeight += weight(serving, imageUse);
        }
        for (Map.Entry<String, Long> imageUse : used.entrySet()) {
            double weight = weight(serving, imageUse);
            if (weight > 0) {
                double estimate = get(serving, imageUse.getKey());
                double raised = estimate + RAISE_FRACTION * (weight / totalWeight) * (1 - estimate);
                put(serving, imageUse.getKey(), raised);
            }
        }
    }

    private double weight(String serving, Map.Entry<String, Long> used) {
        return used.getValue() < MIN_RAISE_MILLICORES
                ? 0
                : used.getValue() * get(serving, used.getKey());
    }

    private void put(String serving, String bestEffort, double estimate) {
        Double previous =
                estimates
                        .computeIfAbsent(serving, key -> new HashMap<>())
                        .put(bestEffort, estimate);
        if (previous == null || round(previous) != round(estimate)) {
            version++;
        }
    }

    private static double round(double estimate) {
        return Math.round(estimate / ROUNDING_STEP) * ROUNDING_STEP;
    }

    /**
     * Gets the version, which increases with each change to the result of {@link #list}.
     *
     * @return the version
     */
    public synchronized long getVersion() {
        return version;
    }

    /**
     * Gets the estimate of a pair.
     *
     * @param serving the serving image
     * @param bestEffort the best-effort image
     * @return the estimated interference, from 0 for none to 1 for strong
     */
    public synchronized double get(String serving, String bestEffort) {
        Map<String, Double> row = estimates.get(serving);
        return row == null ? INITIAL_ESTIMATE : row.getOrDefault(bestEffort, INITIAL_ESTIMATE);
    }

    /**
     * Replaces the estimates of the given pairs, such as by those that another process has learned.
     *
     * @param entries the estimates
     */
    public synchronized void putAll(List<Entry> entries) {
        entries.forEach(entry -> put(entry.serving(), entry.bestEffort(), entry.estimate()));
    }

    /**
     * Lists the estimates, rounded so that small changes need not be sent.
     *
     * @return the estimates
     */
    public synchronized List<Entry> list() {
        List<Entry> all = new ArrayList<>();
        estimates.forEach(
                (serving, row) ->
                        row.forEach(
                                (bestEffort, estimate) -> {
                                    all.add(new Entry(serving, bestEffort, round(estimate)));
                                }));
        return all;
    }
}
