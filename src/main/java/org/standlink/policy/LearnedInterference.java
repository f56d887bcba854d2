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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much a task of a batch class adds to the tail latency of a service at each load level.
 *
 * <p>A measurement is modelled as a base value of the service at that load level plus a
 * contribution of each colocated task. A fraction of the residual corrects the base value and the
 * contributions (normalised least mean squares), so that the model adapts when interference
 * changes. While a pair has few measurements, its contribution is drawn towards the mean of its
 * batch class over all services and load levels.
 *
 * <p>{@code LearnedInterference} is mutable and not thread-safe; callers must synchronise access.
 */
public final class LearnedInterference implements InterferenceModel {

    /** The fraction of the residual that one measurement corrects. */
    private static final double CORRECTION_RATE = 0.3;

    /** The number of measurements that have the same weight as the class mean. */
    private static final double PRIOR_COUNT = 5;

    /** The contribution of a batch class without measurements, in percent of the target. */
    private static final double DEFAULT_CONTRIBUTION = 4;

    /** The base value of a service without measurements, in percent of the target. */
    private static final double DEFAULT_BASE = 50;

    /** The key of base values, used in place of a batch class; no batch class has an empty name. */
    private static final String BASE_KEY = "";

    /** A service at a load level and a batch class. */
    private record Pair(ServiceLoad load, String batchClass) {}

    /** A learned base value or contribution. */
    private static final class Coefficient {

        /** The value, in percent of the target. */
        private double value;

        /** The number of corrections. */
        private long count;

        private Coefficient(double value) {
            this.value = value;
        }

        /** Adds a correction; the value never becomes negative. */
        private void correct(double correction) {
            value = Math.max(0, value + correction);
            count++;
        }
    }

    /** The base values and the contributions of each pair. */
    private final Map<Pair, Coefficient> pairs = new HashMap<>();

    /** The contributions of each batch class over all services and load levels. */
    private final Map<String, Coefficient> classes = new HashMap<>();

    @Override
    public void observe(ServiceLoad load, Collection<String> colocated, double latencyPercent) {
        double residual = latencyPercent - estimate(load, colocated);
        double correction = CORRECTION_RATE * residual / (1 + colocated.size());
        getOrAdd(load, BASE_KEY, DEFAULT_BASE).correct(correction);
        for (String batchClass : colocated) {
            getOrAdd(load, batchClass, getClassMean(batchClass)).correct(correction);
            classes.computeIfAbsent(batchClass, key -> new Coefficient(DEFAULT_CONTRIBUTION))
                    .correct(correction / PRIOR_COUNT);
        }
    }

    @Override
    public double estimate(ServiceLoad load, Collection<String> colocated) {
        Coefficient base = pairs.get(new Pair(load, BASE_KEY));
        double sum = base == null ? DEFAULT_BASE : base.value;
        for (String batchClass : colocated) {
            sum += estimateIncrease(load, batchClass);
        }
        return sum;
    }

    @Override
    public double estimateIncrease(ServiceLoad load, String batchClass) {
        double prior = getClassMean(batchClass);
        Coefficient coefficient = pairs.get(new Pair(load, batchClass));
        if (coefficient == null) {
            return prior;
        }
        double weight = coefficient.count / (coefficient.count + PRIOR_COUNT);
        return weight * coefficient.value + (1 - weight) * prior;
    }

    // -----------------------------------------------------------------------
    private double getClassMean(String batchClass) {
        Coefficient coefficient = classes.get(batchClass);
        return coefficient == null ? DEFAULT_CONTRIBUTION : coefficient.value;
    }

    private Coefficient getOrAdd(ServiceLoad load, String batchClass, double initialValue) {
        return pairs.computeIfAbsent(
                new Pair(load, batchClass), key -> new Coefficient(initialValue));
    }
}
