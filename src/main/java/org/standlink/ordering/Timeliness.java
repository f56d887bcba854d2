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

/**
 * Whether a job is in time for its caller.
 *
 * <p>{@code Timeliness} is thread-safe and immutable.
 */
public enum Timeliness {
    /** The job is on time. */
    ON_TIME(1),
    /** The job is late, but still of some use to its caller. */
    LATE(0.15),
    /** The job is too late to be of use. */
    TOO_LATE(0);

    /**
     * The multiple of its target within which a late job is of some use, by the definition of the
     * operators.
     */
    public static final int USEFUL_TARGET_FACTOR = 3;

    /** The value of the job as a share of its full value, as in the operators' value tables. */
    private final double value;

    Timeliness(double value) {
        this.value = value;
    }

    /**
     * Classifies a completion.
     *
     * @param completionMillis the time from acceptance to completion, in milliseconds
     * @param targetMillis the target of that time, in milliseconds
     * @return the timeliness
     */
    public static Timeliness of(double completionMillis, double targetMillis) {
        if (completionMillis <= targetMillis) {
            return ON_TIME;
        }
        return completionMillis <= USEFUL_TARGET_FACTOR * targetMillis ? LATE : TOO_LATE;
    }

    /**
     * Gets the value of such a job to its caller.
     *
     * @return the value as a share of the job's full value, 0 to 1
     */
    public double getValue() {
        return value;
    }
}
