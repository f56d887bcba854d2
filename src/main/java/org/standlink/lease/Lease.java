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
 * A right to act until a point in time.
 *
 * <p>The holder counts the lease from the time just before its request. So the lease never ends
 * later for the holder than for the grantor.
 *
 * <p>{@code Lease} is thread-safe and immutable.
 *
 * @param untilMillis when the lease ends, on the holder's clock, in milliseconds
 */
public record Lease(long untilMillis) {

    /** A lease that is never live. */
    public static final Lease NONE = new Lease(Long.MIN_VALUE);

    /**
     * Creates a lease that starts at the time of its request.
     *
     * @param requestMillis when it was requested, on the holder's clock, in milliseconds
     * @param lengthMillis the length of the lease, in milliseconds
     * @return the lease
     */
    public static Lease ofRequestTime(long requestMillis, long lengthMillis) {
        return new Lease(requestMillis + lengthMillis);
    }

    /**
     * Checks whether the lease is live.
     *
     * @param nowMillis the current time on the holder's clock, in milliseconds
     * @return true if it has not ended
     */
    public boolean isLive(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * Returns the lease that ends later.
     *
     * @param other another lease of the same holder
     * @return this lease or the other one
     */
    public Lease max(Lease other) {
        return other.untilMillis > untilMillis ? other : this;
    }
}
