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
 * The mean and standard deviation of a series, in which the weight of old values decays.
 *
 * <p>{@code RunningMean} is mutable and not thread-safe; callers must synchronise access.
 */
final class RunningMean {

    /** The weight of a new value once there are many. */
    private final double rate;

    private long count;
    private double mean;
    private double variance;

    /**
     * Creates an empty series.
     *
     * @param rate the weight of a new value once there are many, 0 to 1
     */
    RunningMean(double rate) {
        this.rate = rate;
    }

    void add(double value) {
        count++;
        double weight = Math.max(rate, 1.0 / count);
        double difference = value - mean;
        mean += weight * difference;
        variance = (1 - weight) * (variance + weight * difference * difference);
    }

    /** Gets the number of values added. */
    long getCount() {
        return count;
    }

    /** Gets the mean, 0 before the first value. */
    double getMean() {
        return mean;
    }

    /** Gets the standard deviation, 0 before the second value. */
    double getDeviation() {
        return Math.sqrt(variance);
    }
}
