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
 * The lengths of the leases, and the waiting times derived from them.
 *
 * <p>{@code LeaseTimes} is thread-safe and immutable.
 *
 * @param nodeMillis the length of a node lease, in milliseconds
 * @param workerMillis the length of the platform's worker lease, in milliseconds
 * @param authorityMillis the length of the leader's authority, in milliseconds
 * @param marginMillis the maximum drift between two clocks over these times, in milliseconds
 */
public record LeaseTimes(
        long nodeMillis, long workerMillis, long authorityMillis, long marginMillis) {

    /** The default lengths. */
    public static final LeaseTimes DEFAULT = new LeaseTimes(10_000, 5_000, 600_000, 2_000);

    /**
     * Returns how long an unresponsive agent may still have tasks running after the end of its node
     * lease.
     *
     * <p>An agent checks its node lease and then renews its worker lease. If it is paused between
     * the two, the renewal may happen almost a worker lease after the end of the node lease, and
     * the renewed lease lasts for another worker lease. For the same reason, unanswered calls for
     * the worker lease may be executed late, each by at most a worker lease and the margin.
     *
     * @return the time, in milliseconds
     */
    public long unresponsiveAgentMillis() {
        return 2 * workerMillis + marginMillis;
    }

    /**
     * Returns how long after a claim an agent that has not acknowledged it may still have tasks
     * running under the previous leader.
     *
     * @return the time, in milliseconds
     */
    public long unacknowledgedAgentMillis() {
        return authorityMillis + nodeMillis + unresponsiveAgentMillis();
    }
}
