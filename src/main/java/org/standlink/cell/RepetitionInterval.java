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

/**
 * The time between two calls for an append without an answer. The calls after the first one share
 * its link: sent too soon, each of them delays all those before it.
 *
 * <p>{@code RepetitionInterval} is not thread-safe; it is confined to the leader's event loop.
 */
final class RepetitionInterval {

    /**
     * The minimum interval, in milliseconds. An answer takes 10 ms, and a call whose answer is lost
     * times out only after 1,000 ms. This is also how soon it is noticed that an unresponsive store
     * answers again; leases that expire before that cost the work of their runs.
     */
    static final long MIN_MILLIS = 100;

    /** The interval as a multiple of the time that the store last took, in case it is slow. */
    private static final long LATENCY_FACTOR = 4;

    /**
     * The rate at which a request is assumed to leave a thin link, in bytes per millisecond: 2
     * Mbit/s.
     */
    private static final long MIN_RATE = 250;

    /** How long the last answered call took beyond the time for its bytes, in milliseconds. */
    private long lastLatencyMillis;

    /**
     * Records that a call was answered.
     *
     * @param durationMillis how long it took, in milliseconds
     * @param length the length of its append, in bytes
     */
    void callAnswered(long durationMillis, long length) {
        lastLatencyMillis = Math.max(0, durationMillis - length / MIN_RATE);
    }

    /**
     * Gets the interval before the next call for an append.
     *
     * @param length the length of the append, in bytes
     * @return the interval, in milliseconds
     */
    long getMillis(long length) {
        long latencyMillis = Math.max(MIN_MILLIS, LATENCY_FACTOR * lastLatencyMillis);
        return Math.max(latencyMillis, length / MIN_RATE);
    }
}
