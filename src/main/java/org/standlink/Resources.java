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
package org.standlink;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An amount of processors, memory and accelerators.
 *
 * <p>Processors are measured in thousandths of a core, so that sums are exact.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code Resources} is thread-safe and immutable.
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators whole accelerators
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Resources(long milliCores, long memoryMegabytes, long accelerators) {

    /** An amount of zero. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Creates an amount from a number of cores.
     *
     * @param cores processors, in cores, rounded to thousandths
     * @param memoryMegabytes memory, in megabytes
     * @param accelerators whole accelerators
     * @return the amount
     */
    public static Resources ofCores(double cores, long memoryMegabytes, long accelerators) {
        return new Resources(Math.round(cores * 1000), memoryMegabytes, accelerators);
    }

    // -----------------------------------------------------------------------
    /**
     * Adds an amount.
     *
     * @param other the amount to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts an amount.
     *
     * @param other the amount to subtract
     * @return the difference, whose components may be negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Checks whether no component of this amount exceeds that of another.
     *
     * @param available the amount to compare with
     * @return true if this amount fits into the available one
     */
    public boolean fitsIn(Resources available) {
        return milliCores <= available.milliCores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }
}
