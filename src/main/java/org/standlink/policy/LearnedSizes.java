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

import java.util.HashMap;
import java.util.Map;
import org.standlink.Resources;

/**
 * Learns what the tasks of each class take, in place of what is declared.
 *
 * <p>The estimate is the mean of recent measurements plus a margin of their deviation. It starts at
 * the declaration and moves to the measurements as they come in. Accelerators are whole and are
 * taken as declared.
 *
 * <p>{@code LearnedSizes} is mutable and not thread-safe; its owner guards it.
 */
public final class LearnedSizes implements SizeEstimator {

    /** How much a new measurement counts. */
    private static final double RATE = 0.05;

    /** How many measurements weigh as much as the declaration. */
    private static final double PRIOR_COUNT = 4;

    /** How many deviations are added to the mean. */
    private static final double DEVIATIONS = 1;

    /** The least that a task is granted, in thousandths of a core and in megabytes. */
    private static final long LEAST = 50;

    /** What is known of each class. */
    private final Map<String, Learned> classes = new HashMap<>();

    /** What is known of one class. */
    private static final class Learned {

        /** Processors. */
        private final RunningMean cores = new RunningMean(RATE);

        /** Memory. */
        private final RunningMean memory = new RunningMean(RATE);
    }

    @Override
    public void observe(String batchClass, Resources usage) {
        Learned learned = classes.computeIfAbsent(batchClass, key -> new Learned());
        learned.cores.add(usage.milliCores());
        learned.memory.add(usage.memoryMegabytes());
    }

    @Override
    public Resources estimate(String batchClass, Resources declared) {
        Learned learned = classes.get(batchClass);
        if (learned == null) {
            return declared;
        }
        return new Resources(
                blend(learned.cores, declared.milliCores()),
                blend(learned.memory, declared.memoryMegabytes()),
                declared.accelerators());
    }

    private static long blend(RunningMean learned, long declared) {
        double trust = learned.getCount() / (learned.getCount() + PRIOR_COUNT);
        double measured = learned.getMean() + DEVIATIONS * learned.getDeviation();
        return Math.max(LEAST, Math.round(trust * measured + (1 - trust) * declared));
    }
}
