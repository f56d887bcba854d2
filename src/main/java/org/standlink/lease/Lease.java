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
package org.standlink.lease;

/**
 * The right to act until a point in time.
 *
 * <p>The holder counts the lease from before it asked for it, so it never thinks that it holds the
 * lease longer than its grantor does.
 *
 * <p>{@code Lease} is thread-safe and immutable.
 *
 * @param untilMillis when it ends, on the holder's clock, in milliseconds
 */
public record Lease(long untilMillis) {

    /** A lease that was never granted. */
    public static final Lease NONE = new Lease(Long.MIN_VALUE);

    /**
     * Makes a lease.
     *
     * @param askedMillis when it was asked for, on the holder's clock, in milliseconds
     * @param lengthMillis how long it lasts, in milliseconds
     * @return the lease
     */
    public static Lease ofRequestTime(long askedMillis, long lengthMillis) {
        return new Lease(askedMillis + lengthMillis);
    }

    /**
     * Checks whether the lease is live.
     *
     * @param nowMillis the time on the holder's clock, in milliseconds
     * @return true if it has not ended
     */
    public boolean isLive(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * Gets the longer of two leases.
     *
     * @param other another lease of the same holder
     * @return the one that ends later
     */
    public Lease max(Lease other) {
        return other.untilMillis > untilMillis ? other : this;
    }
}
