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
 * The durations on which the leader and the agents must agree.
 *
 * <p>{@code CellTimes} is thread-safe and immutable.
 *
 * @param leaseMillis how long a worker keeps its runs without a message from the leader, in
 *     milliseconds; at most what the workers allow
 * @param statusRetentionMillis how long the state of a final job is retained, in milliseconds
 */
public record CellTimes(long leaseMillis, long statusRetentionMillis) {

    /**
     * How long a leader grants leases after the store accepted its last append, in milliseconds.
     * Ordinary outages of the store, of about 4 s, must not cost work: this time and a lease
     * together cover them. A new leader waits as long for workers that it receives no reports of.
     */
    public static final long AUTHORITY_MILLIS = 3000;

    /**
     * The maximum length of a lease, in milliseconds: an agent whose machine lost power for 3.5 s
     * is back within 5.5 s. A longer lease would only delay the work of lost workers.
     */
    public static final long MAX_LEASE_MILLIS = 6000;

    /**
     * The margin added to every wait that depends on the clock of another process, in milliseconds:
     * 2% of a lease of ten seconds, and the time that a worker takes to kill its runs.
     */
    public static final long SAFETY_MARGIN_MILLIS = 400;

    /**
     * How long after it was sent an unanswered call may still be carried out by a worker, in
     * milliseconds.
     */
    public static final long MAX_CALL_DELAY_MILLIS = 12_000;

    /**
     * How long after it was sent an unanswered start call may cause a run on a later incarnation of
     * its worker, in milliseconds: until the call is carried out, and for the longest lease that
     * the worker then grants the run.
     */
    public static final long START_IN_DOUBT_MILLIS =
            MAX_CALL_DELAY_MILLIS + MAX_LEASE_MILLIS + SAFETY_MARGIN_MILLIS;

    /**
     * Gets how long runs that a former leader ordered may continue on workers that no agent
     * reports.
     *
     * @return the time since the former leader was fenced, in milliseconds
     */
    public long waitAfterFenceMillis() {
        return AUTHORITY_MILLIS + leaseMillis + SAFETY_MARGIN_MILLIS;
    }
}
