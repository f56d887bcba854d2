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

import java.util.Comparator;
import java.util.Objects;

/**
 * Orders the orders to one worker: by the epoch of the leader, then by the generation of the lease
 * under which it gave them.
 *
 * <p>A worker does nothing for a lower one than it has seen, so that what was given up with a lease
 * cannot begin any more, however late the call is carried out.
 *
 * <p>{@code Fence} is thread-safe and immutable.
 */
public final class Fence implements Comparable<Fence> {

    /** The value before the first. */
    public static final Fence NONE = new Fence(Epoch.NONE, LeaseGeneration.NONE);

    /**
     * The bits of a token that hold the generation; the others are left for the epoch. A token
     * stays exact as a JSON number up to 2^53.
     */
    private static final int GENERATION_BITS = 26;

    /** The order of fences. */
    private static final Comparator<Fence> ORDER =
            Comparator.comparing(Fence::getEpoch).thenComparing(Fence::getGeneration);

    /** The epoch. */
    private final Epoch epoch;

    /** The generation of the lease. */
    private final LeaseGeneration generation;

    /**
     * Constructor.
     *
     * @param epoch the epoch
     * @param generation the generation of the lease
     */
    private Fence(Epoch epoch, LeaseGeneration generation) {
        this.epoch = epoch;
        this.generation = generation;
    }

    /**
     * Makes a fence.
     *
     * @param epoch the epoch of the leader, not null
     * @param generation the generation of the lease, not null
     * @return the fence
     * @throws NullPointerException if either is null
     */
    public static Fence of(Epoch epoch, LeaseGeneration generation) {
        return new Fence(
                Objects.requireNonNull(epoch, "epoch"),
                Objects.requireNonNull(generation, "generation"));
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the epoch.
     *
     * @return the epoch of the leader
     */
    public Epoch getEpoch() {
        return epoch;
    }

    /**
     * Gets the generation.
     *
     * @return the generation of the lease
     */
    public LeaseGeneration getGeneration() {
        return generation;
    }

    /**
     * Checks whether this fence comes after another.
     *
     * @param other the other
     * @return true if it is higher
     */
    public boolean isAfter(Fence other) {
        return compareTo(other) > 0;
    }

    /**
     * Works out the number that a worker compares.
     *
     * @return the number, which rises with the fence
     */
    public long toToken() {
        return (epoch.getValue() << GENERATION_BITS) + generation.getValue();
    }

    // -----------------------------------------------------------------------
    @Override
    public int compareTo(Fence other) {
        return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Fence other
                && epoch.equals(other.epoch)
                && generation.equals(other.generation);
    }

    @Override
    public int hashCode() {
        return Objects.hash(epoch, generation);
    }

    @Override
    public String toString() {
        return epoch + "." + generation;
    }
}
