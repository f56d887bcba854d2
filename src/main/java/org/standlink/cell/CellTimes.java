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
 * The lengths of time on which leader and agents must agree.
 *
 * <p>{@code CellTimes} is thread-safe and immutable.
 *
 * @param leaseMillis for how long a worker keeps its runs without word from the leader, in
 *     milliseconds; at most what the workers allow
 * @param statusRetentionMillis for how long the state of a final job is kept, in milliseconds
 */
public record CellTimes(long leaseMillis, long statusRetentionMillis) {

    /**
     * For how long a leader grants leases after the store took its last append, in milliseconds.
     * Ordinary outages of the store, of about 4 s, must not cost work: this and a lease cover them.
     * A successor waits as long for workers that it cannot hear.
     */
    public static final long AUTHORITY_MILLIS = 3000;

    /**
     * The longest lease, in milliseconds: an agent whose machine lost power for 3.5 s is back
     * within 5.5 s. A longer one would only keep the work of lost workers waiting.
     */
    public static final long MAX_LEASE_MILLIS = 6000;

    /**
     * What is added to every wait for somebody else's clock, in milliseconds: 2% of a lease of ten
     * seconds, and the time a worker takes to kill.
     */
    public static final long SAFETY_MARGIN_MILLIS = 400;

    /**
     * Gets for how long runs may go on that were ordered by a leader that is gone, on workers that
     * nobody hears.
     *
     * @return the time since that leader was fenced, in milliseconds
     */
    public long waitAfterFenceMillis() {
        return AUTHORITY_MILLIS + leaseMillis + SAFETY_MARGIN_MILLIS;
    }
}
