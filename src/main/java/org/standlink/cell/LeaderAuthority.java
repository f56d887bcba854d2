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
 * Tells how long it is since the leader surely led, which its leases rest on: since the store took
 * an append of its epoch.
 *
 * <p>Two clocks count. The steady one stands still while the machine is suspended; the time of day
 * goes on, but may be set. Whichever says that more time has gone by is believed: a time of day
 * that jumps ahead costs no more than the leases until the next append, a quarter of a second.
 *
 * <p>{@code LeaderAuthority} is not thread-safe; the leader's loop owns it.
 */
final class LeaderAuthority {

    /** The steady clock. */
    private final MonotonicClock clock;

    /** The time of day, in milliseconds since 1970. */
    private final LongSupplier wallClock;

    /** When the last append that was taken had been sent. */
    private ClockReading taken;

    /**
     * A moment on both clocks.
     *
     * @param monotonicMillis the time on the steady clock, in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    record ClockReading(long monotonicMillis, long wallMillis) {}

    /**
     * Constructor. The leader is taken to lead at first.
     *
     * @param clock the steady clock
     * @param wallClock the time of day, in milliseconds since 1970
     */
    LeaderAuthority(MonotonicClock clock, LongSupplier wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.taken = now();
    }

    /**
     * Gets the present moment.
     *
     * @return the moment
     */
    ClockReading now() {
        return new ClockReading(clock.nowMillis(), wallClock.getAsLong());
    }

    /**
     * Takes note that the store took an append.
     *
     * @param sent when it had been sent
     */
    void appendAccepted(ClockReading sent) {
        taken = sent;
    }

    /**
     * Gets how long it is since the last append that was taken had been sent.
     *
     * @return the time, in milliseconds
     */
    long getMillisSinceConfirmed() {
        ClockReading now = now();
        return Math.max(
                now.monotonicMillis() - taken.monotonicMillis(),
                now.wallMillis() - taken.wallMillis());
    }
}
