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
 * Learns, pair by pair, how much a task of a batch class adds to a service's tail latency at each
 * load level.
 *
 * <p>A measurement is explained as a base of the service at that level plus a share for each task
 * beside it. What is left unexplained corrects the base and the shares a little (normalised least
 * mean squares), so that the model forgets as interference shifts. While a pair has few
 * measurements its share is drawn towards the mean of its class over all services and levels.
 *
 * <p>{@code LearnedInterference} is mutable and not thread-safe; its owner guards it.
 */
public final class LearnedInterference implements InterferenceModel {

    /** How much of the unexplained part is corrected at once. */
    private static final double RATE = 0.3;

    /** How many measurements weigh as much as the class mean. */
    private static final double PRIOR_COUNT = 5;

    /** The share of a task of a class that was never seen, in percent of the target. */
    private static final double UNSEEN_SHARE = 4;

    /** The base of a service that was never seen, in percent of the target. */
    private static final double UNSEEN_BASE = 50;

    /** The name under which bases are kept; no batch class has it. */
    private static final String BASE = "";

    /** A service at a load level with a batch class. */
    private record Pair(ServiceLoad load, String batchClass) {}

    /** A learned share. */
    private static final class Share {

        /** The share, in percent of the target. */
        private double value;

        /** How many measurements there were. */
        private long count;

        /**
         * Constructor.
         *
         * @param value the first value
         */
        private Share(double value) {
            this.value = value;
        }

        /**
         * Corrects the share.
         *
         * @param correction what to add
         */
        private void correct(double correction) {
            value = Math.max(0, value + correction);
            count++;
        }
    }

    /** The learned shares of pairs. */
    private final Map<Pair, Share> pairs = new HashMap<>();

    /** The learned shares of classes over all services and levels. */
    private final Map<String, Share> classes = new HashMap<>();

    @Override
    public void observe(ServiceLoad load, Collection<String> beside, double latencyPercent) {
        double unexplained = latencyPercent - estimate(load, beside);
        double correction = RATE * unexplained / (1 + beside.size());
        pair(load, BASE, UNSEEN_BASE).correct(correction);
        for (String batchClass : beside) {
            pair(load, batchClass, classShare(batchClass)).correct(correction);
            classes.computeIfAbsent(batchClass, key -> new Share(UNSEEN_SHARE))
                    .correct(correction / PRIOR_COUNT);
        }
    }

    @Override
    public double estimate(ServiceLoad load, Collection<String> beside) {
        Share base = pairs.get(new Pair(load, BASE));
        double sum = base == null ? UNSEEN_BASE : base.value;
        for (String batchClass : beside) {
            sum += estimateIncrease(load, batchClass);
        }
        return sum;
    }

    @Override
    public double estimateIncrease(ServiceLoad load, String batchClass) {
        double prior = classShare(batchClass);
        Share share = pairs.get(new Pair(load, batchClass));
        if (share == null) {
            return prior;
        }
        double trust = share.count / (share.count + PRIOR_COUNT);
        return trust * share.value + (1 - trust) * prior;
    }

    // -----------------------------------------------------------------------
    private double classShare(String batchClass) {
        Share share = classes.get(batchClass);
        return share == null ? UNSEEN_SHARE : share.value;
    }

    private Share pair(ServiceLoad load, String batchClass, double first) {
        return pairs.computeIfAbsent(new Pair(load, batchClass), key -> new Share(first));
    }
}
