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
package org.standlink.cell;

import java.util.function.LongSupplier;
import org.standlink.lease.MonotonicClock;

/**
 * Measures the time since this process was last certain to be the leader: since the store accepted
 * an append of its epoch. The leases that it grants rest on this.
 *
 * <p>The time is taken from two clocks. The monotonic clock stops while the machine is suspended;
 * the time of day continues, but may be set. The longer of the two elapsed times is used: a forward
 * jump of the time of day costs no more than the leases until the next append, a quarter of a
 * second later.
 *
 * <p>{@code LeaderAuthority} is not thread-safe; it is confined to the leader's event loop.
 */
final class LeaderAuthority {

    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** When the last accepted append was sent. */
    private ClockReading lastAccepted;

    /**
     * The time on both clocks.
     *
     * @param monotonicMillis the time on the monotonic clock, in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    record ClockReading(long monotonicMillis, long wallMillis) {}

    /**
     * Creates a record of the authority of a leader. The leader is assumed to have authority
     * initially.
     *
     * @param clock the monotonic clock
     * @param wallClock the time of day, in milliseconds since 1970
     */
    LeaderAuthority(MonotonicClock clock, LongSupplier wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.lastAccepted = now();
    }

    /**
     * Reads both clocks.
     *
     * @return the present time
     */
    ClockReading now() {
        return new ClockReading(clock.nowMillis(), wallClock.getAsLong());
    }

    /**
     * Records that the store has accepted an append.
     *
     * @param sent when the append was sent
     */
    void appendAccepted(ClockReading sent) {
        lastAccepted = sent;
    }

    /**
     * Gets the time since the last accepted append was sent.
     *
     * @return the time, in milliseconds
     */
    long getMillisSinceConfirmed() {
        ClockReading now = now();
        return Math.max(
                now.monotonicMillis() - lastAccepted.monotonicMillis(),
                now.wallMillis() - lastAccepted.wallMillis());
    }
}
