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
 * Learns which best-effort images lengthen the tail of which serving images, pair by pair.
 *
 * <p>Samples of the users' platform showed that a pair either hardly matters or lengthens the tail
 * up to fifteenfold, so each pair has one belief from 0 (harmless) to 1 (harmful). A tail above its
 * target raises the beliefs of the images that worked beside it, those most that are believed
 * harmful already; a tail well below lowers them. {@link LearnedInterference} adds shares instead,
 * which such outliers spoil.
 *
 * <p>{@code InterferenceTable} is thread-safe.
 */
public final class InterferenceTable {

    /**
     * The belief of a pair that was never seen; serving tails are protected by throttling
     * meanwhile.
     */
    public static final double INITIAL_ESTIMATE = 0.4;

    /** The belief from which a pair counts as harmful. */
    public static final double HIGH_INTERFERENCE = 0.6;

    /** The belief below which a pair counts as harmless. */
    public static final double LOW_INTERFERENCE = 0.2;

    /** The share of its target above which a tail blames what works beside it. */
    private static final double HIGH = 0.95;

    /** The share of its target below which a tail clears what works beside it. */
    private static final double LOW = 0.7;

    /** The least use of processors that is blamed, in thousandths of a core. */
    private static final long LEAST_BLAMED = 300;

    /** The least use of processors that is cleared, in thousandths of a core. */
    private static final long LEAST_CLEARED = 1000;

    /** How much of the way to 1 a belief is raised at once, if one image bears all the blame. */
    private static final double RAISE = 0.5;

    /** How much of the way to 0 a belief is lowered at once. */
    private static final double LOWER = 0.12;

    /** By how much a belief must have changed to be told anew. */
    private static final double STEP = 0.1;

    /**
     * The belief of one pair.
     *
     * @param serving the serving image
     * @param bestEffort the best-effort image
     * @param estimate 0 for harmless to 1 for harmful
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(String serving, String bestEffort, double estimate) {}

    /** The beliefs, by serving and then best-effort image; guarded by this. */
    private final Map<String, Map<String, Double>> beliefs = new HashMap<>();

    /** How often the rounded beliefs have changed; guarded by this. */
    private long version;

    /**
     * Learns from one sample of a worker.
     *
     * @param serving the serving image
     * @param ratio its tail as a share of its target
     * @param used the processors in use by each best-effort image there, in thousandths of a core
     */
    public synchronized void observe(String serving, double ratio, Map<String, Long> used) {
        if (ratio > HIGH) {
            blame(serving, used);
        } else if (ratio < LOW) {
            used.forEach(
                    (bestEffort, cores) -> {
                        if (cores >= LEAST_CLEARED) {
                            put(serving, bestEffort, get(serving, bestEffort) * (1 - LOWER));
                        }
                    });
        }
    }

    private void blame(String serving, Map<String, Long> used) {
        double sum = 0;
        for (Map.Entry<String, Long> one : used.entrySet()) {
            sum += guilt(serving, one);
        }
        for (Map.Entry<String, Long> one : used.entrySet()) {
            double guilt = guilt(serving, one);
            if (guilt > 0) {
                double belief = get(serving, one.getKey());
                double raised = belief + RAISE * (guilt / sum) * (1 - belief);
                put(serving, one.getKey(), raised);
            }
        }
    }

    private double guilt(String serving, Map.Entry<String, Long> used) {
        return used.getValue() < LEAST_BLAMED ? 0 : used.getValue() * get(serving, used.getKey());
    }

    private void put(String serving, String bestEffort, double belief) {
        Double before =
                beliefs.computeIfAbsent(serving, key -> new HashMap<>()).put(bestEffort, belief);
        if (before == null || round(before) != round(belief)) {
            version++;
        }
    }

    private static double round(double belief) {
        return Math.round(belief / STEP) * STEP;
    }

    /**
     * Gets the number of changes that {@link #list} shows.
     *
     * @return the number, which rises
     */
    public synchronized long getVersion() {
        return version;
    }

    /**
     * Gets the belief of a pair.
     *
     * @param serving the serving image
     * @param bestEffort the best-effort image
     * @return 0 for harmless to 1 for harmful
     */
    public synchronized double get(String serving, String bestEffort) {
        Map<String, Double> row = beliefs.get(serving);
        return row == null ? INITIAL_ESTIMATE : row.getOrDefault(bestEffort, INITIAL_ESTIMATE);
    }

    /**
     * Takes over beliefs that another process has learnt.
     *
     * @param told the beliefs
     */
    public synchronized void putAll(List<Entry> told) {
        told.forEach(entry -> put(entry.serving(), entry.bestEffort(), entry.estimate()));
    }

    /**
     * Lists the beliefs, rounded, so that small changes need not be told.
     *
     * @return the beliefs
     */
    public synchronized List<Entry> list() {
        List<Entry> all = new ArrayList<>();
        beliefs.forEach(
                (serving, row) ->
                        row.forEach(
                                (bestEffort, belief) -> {
                                    all.add(new Entry(serving, bestEffort, round(belief)));
                                }));
        return all;
    }
}
