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
 * Learns the resource use of the tasks of each batch class.
 *
 * <p>The estimate is the mean of recent measurements plus a multiple of their standard deviation.
 * It starts at the declared size and approaches the measurements as they arrive. Accelerators are
 * indivisible and are granted as declared.
 *
 * <p>{@code LearnedSizes} is mutable and not thread-safe; callers must synchronise access.
 */
public final class LearnedSizes implements SizeEstimator {

    /** The weight of a new measurement. */
    private static final double MEASUREMENT_WEIGHT = 0.05;

    /** The number of measurements that have the same weight as the declared size. */
    private static final double PRIOR_COUNT = 4;

    /** The number of standard deviations added to the mean. */
    private static final double DEVIATIONS = 1;

    /** The smallest estimate, in thousandths of a core and in megabytes. */
    private static final long MIN_ESTIMATE = 50;

    private final Map<String, Measurements> classes = new HashMap<>();

    /** The measured use of one batch class. */
    private static final class Measurements {

        /** The processor use, in thousandths of a core. */
        private final RunningMean cores = new RunningMean(MEASUREMENT_WEIGHT);

        /** The memory use, in megabytes. */
        private final RunningMean memory = new RunningMean(MEASUREMENT_WEIGHT);
    }

    @Override
    public void observe(String batchClass, Resources usage) {
        Measurements measurements = classes.computeIfAbsent(batchClass, key -> new Measurements());
        measurements.cores.add(usage.milliCores());
        measurements.memory.add(usage.memoryMegabytes());
    }

    @Override
    public Resources estimate(String batchClass, Resources declared) {
        Measurements measurements = classes.get(batchClass);
        if (measurements == null) {
            return declared;
        }
        return new Resources(
                blend(measurements.cores, declared.milliCores()),
                blend(measurements.memory, declared.memoryMegabytes()),
                declared.accelerators());
    }

    private static long blend(RunningMean measurements, long declared) {
        double weight = measurements.getCount() / (measurements.getCount() + PRIOR_COUNT);
        double measured = measurements.getMean() + DEVIATIONS * measurements.getDeviation();
        return Math.max(MIN_ESTIMATE, Math.round(weight * measured + (1 - weight) * declared));
    }
}
