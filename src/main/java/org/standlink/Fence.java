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
 * Defines the precedence of the orders to a worker: by the epoch of the leader, then by the
 * generation of the lease under which the order was sent.
 *
 * <p>A worker rejects orders with a lower fence than the highest that it has received. A run that
 * was abandoned with a lease therefore cannot start afterwards, however late the call is executed.
 *
 * <p>{@code Fence} is thread-safe and immutable.
 */
public final class Fence implements Comparable<Fence> {

    /** The value that precedes the first fence. */
    public static final Fence NONE = new Fence(Epoch.NONE, LeaseGeneration.NONE);

    /**
     * The number of low bits of a token that hold the generation; the epoch occupies the higher
     * ones. A JSON number represents a token exactly up to 2^53.
     */
    private static final int GENERATION_BITS = 26;

    private static final Comparator<Fence> ORDER =
            Comparator.comparing(Fence::getEpoch).thenComparing(Fence::getGeneration);

    private final Epoch epoch;

    private final LeaseGeneration generation;

    private Fence(Epoch epoch, LeaseGeneration generation) {
        this.epoch = epoch;
        this.generation = generation;
    }

    /**
     * Creates a fence.
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
     * Checks whether this fence is higher than another.
     *
     * @param other the fence to compare with
     * @return true if this fence is higher
     */
    public boolean isAfter(Fence other) {
        return compareTo(other) > 0;
    }

    /**
     * Computes the fencing token that a worker compares.
     *
     * @return the token; a higher fence has a greater token
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
