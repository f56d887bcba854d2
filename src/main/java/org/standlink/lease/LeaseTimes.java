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
 * The lengths of the leases, and the waits that follow from them.
 *
 * <p>{@code LeaseTimes} is thread-safe and immutable.
 *
 * @param nodeMillis the node lease, in milliseconds
 * @param workerMillis the platform's worker lease, in milliseconds
 * @param authorityMillis the leader authority, in milliseconds
 * @param marginMillis what clocks may drift apart over these times, in milliseconds
 */
public record LeaseTimes(
        long nodeMillis, long workerMillis, long authorityMillis, long marginMillis) {

    /** Ten seconds, five seconds, ten minutes, two seconds. */
    public static final LeaseTimes DEFAULT = new LeaseTimes(10_000, 5_000, 600_000, 2_000);

    /**
     * Gets how long after the end of its node lease a silent agent may still have tasks running.
     *
     * <p>An agent checks its node lease and then renews its worker lease. A pause between the two
     * can put the renewal almost one worker lease after the node lease ended, and the renewed lease
     * lasts for another. For the same reason calls for the worker lease that go unanswered may be
     * carried out late, each by a worker lease and the margin at most.
     *
     * @return the wait, in milliseconds
     */
    public long unresponsiveAgentMillis() {
        return 2 * workerMillis + marginMillis;
    }

    /**
     * Gets how long after a claim an agent that has not acknowledged it may still have tasks
     * running under the old leader.
     *
     * @return the wait, in milliseconds
     */
    public long unacknowledgedAgentMillis() {
        return authorityMillis + nodeMillis + unresponsiveAgentMillis();
    }
}
