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

/**
 * A mean and deviation that forget old values.
 *
 * <p>{@code RunningMean} is mutable and not thread-safe; its owner guards it.
 */
final class RunningMean {

    /** How much a new value counts once there are many. */
    private final double rate;

    /** How many values came. */
    private long count;

    /** The mean. */
    private double mean;

    /** The variance. */
    private double variance;

    /**
     * Constructor.
     *
     * @param rate how much a new value counts once there are many, 0 to 1
     */
    RunningMean(double rate) {
        this.rate = rate;
    }

    /**
     * Adds a value.
     *
     * @param value the value
     */
    void add(double value) {
        count++;
        double weight = Math.max(rate, 1.0 / count);
        double difference = value - mean;
        mean += weight * difference;
        variance = (1 - weight) * (variance + weight * difference * difference);
    }

    /**
     * Gets how many values came.
     *
     * @return the count
     */
    long getCount() {
        return count;
    }

    /**
     * Gets the mean.
     *
     * @return the mean, 0 before the first value
     */
    double getMean() {
        return mean;
    }

    /**
     * Gets the deviation.
     *
     * @return the standard deviation
     */
    double getDeviation() {
        return Math.sqrt(variance);
    }
}
