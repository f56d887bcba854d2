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
 * What an agent holds from its leader: the node lease and the assignments under it.
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

    /** Nothing was granted yet. */
    static final NodeGrant NONE =
            new NodeGrant(Epoch.NONE, LeaseGeneration.NONE, Lease.NONE, 0, List.of());

    /**
     * Checks whether an answer is older than this grant.
     *
     * @param answer the answer
     * @return true if its epoch is lower, or its generation under the same epoch
     */
    boolean isNewerThan(HeartbeatAnswer answer) {
        if (!answer.epoch().equals(epoch)) {
            return epoch.isAfter(answer.epoch());
        }
        return generation.isAfter(answer.generation());
    }

    /**
     * Makes the grant that follows from an answer.
     *
     * @param answer an answer that is not older than this grant
     * @param askedMillis when its heartbeat was sent, in milliseconds
     * @return the grant
     */
    NodeGrant with(HeartbeatAnswer answer, long askedMillis) {
        Lease asked = Lease.ofRequestTime(askedMillis, answer.grantedMillis());
        return new NodeGrant(
                answer.epoch(),
                answer.generation(),
                asked.max(lease),
                answer.revision(),
                answer.assignments() == null ? assignments : answer.assignments());
    }
}
