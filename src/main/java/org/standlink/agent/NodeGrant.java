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
package org.standlink.agent;

import java.util.List;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;
import org.standlink.lease.Lease;
import org.standlink.wire.Assignment;
import org.standlink.wire.HeartbeatAnswer;

/**
 * The node lease that the leader has granted to this agent, and the assignments under it.
 *
 * <p>{@code NodeGrant} is thread-safe and immutable.
 *
 * @param epoch the epoch of the leader
 * @param generation the lease generation
 * @param lease the node lease
 * @param revision the revision of the assignments
 * @param assignments the assignments
 */
record NodeGrant(
        Epoch epoch,
        LeaseGeneration generation,
        Lease lease,
        long revision,
        List<Assignment> assignments) {

    /** The grant of an agent to which nothing has been granted yet. */
    static final NodeGrant NONE =
            new NodeGrant(Epoch.NONE, LeaseGeneration.NONE, Lease.NONE, 0, List.of());

    /**
     * Checks whether this grant is newer than an answer.
     *
     * @param answer the answer
     * @return true if the answer has a lower epoch, or the same epoch and a lower generation
     */
    boolean isNewerThan(HeartbeatAnswer answer) {
        if (!answer.epoch().equals(epoch)) {
            return epoch.isAfter(answer.epoch());
        }
        return generation.isAfter(answer.generation());
    }

    /**
     * Returns this grant updated by an answer of the leader. An answer without assignments leaves
     * them unchanged, and one that arrives out of order does not shorten the lease.
     *
     * @param answer an answer that is not older than this grant
     * @param requestMillis when the heartbeat was sent, in milliseconds
     * @return the updated grant
     */
    NodeGrant with(HeartbeatAnswer answer, long requestMillis) {
        Lease newLease = Lease.ofRequestTime(requestMillis, answer.grantedMillis());
        return new NodeGrant(
                answer.epoch(),
                answer.generation(),
                newLease.max(lease),
                answer.revision(),
                answer.assignments() == null ? assignments : answer.assignments());
    }
}
