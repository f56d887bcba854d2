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
package org.standlink.leader;

import java.util.Collection;
import java.util.Map;
import org.standlink.Epoch;
import org.standlink.VmId;
import org.standlink.lease.LeaseTimes;

/**
 * Decides whether a leader may grant a node lease to the agent of its own process, and when its
 * successor can be certain that it no longer does.
 *
 * <p>A partitioned leader must not continue to grant leases to its own agent until its authority
 * expires; otherwise each failure of a leader's VM would delay the tasks of that VM for as long. It
 * therefore grants them only while it has read the log, or received heartbeats from more than half
 * of the other agents, within the length of a node lease. Once so many of them have acknowledged a
 * successor that no such majority is left, the last lease that the old leader can have granted to
 * its own agent expires two node leases later. A heartbeat counts by the time at which it was sent,
 * as a delayed one does not show which leader its agent follows now.
 *
 * <p>{@code LocalAgentLease} is thread-safe and immutable.
 */
final class LocalAgentLease {

    private LocalAgentLease() {}

    /**
     * Checks whether a leader may grant a lease to its own agent.
     *
     * @param logAgeMillis the time since the log was last read, in milliseconds
     * @param self the VM of the leader
     * @param epoch the epoch of the leader
     * @param vms the VMs of the cell
     * @param agents the leader's state of the agents
     * @param times the lengths of the leases
     * @param nowMillis the time, in milliseconds
     * @return true if it may grant the lease
     */
    static boolean isAllowed(
            long logAgeMillis,
            VmId self,
            Epoch epoch,
            Collection<VmId> vms,
            Map<VmId, AgentEntry> agents,
            LeaseTimes times,
            long nowMillis) {
        if (logAgeMillis < times.nodeMillis()) {
            return true;
        }
        long others = countOthers(self, vms);
        long following =
                vms.stream()
                        .filter(vm -> !vm.equals(self))
                        .map(agents::get)
                        .filter(agent -> agent != null && agent.hasReported())
                        .filter(
                                agent ->
                                        agent.hasFollowedWithin(
                                                epoch, times.nodeMillis(), nowMillis))
                        .count();
        return following > others / 2;
    }

    /**
     * Checks whether so many agents have acknowledged a successor that the old leader can no longer
     * receive heartbeats from more than half of the other agents.
     *
     * @param oldLeader the VM of the old leader
     * @param vms the VMs of the cell
     * @param agents the successor's state of the agents
     * @return true if the old leader has lost its majority
     */
    static boolean hasLostMajority(
            VmId oldLeader, Collection<VmId> vms, Map<VmId, AgentEntry> agents) {
        long others = countOthers(oldLeader, vms);
        long acknowledged =
                vms.stream()
                        .filter(vm -> !vm.equals(oldLeader))
                        .map(agents::get)
                        .filter(agent -> agent != null && agent.isAcknowledged())
                        .count();
        return others > 0 && others - acknowledged <= others / 2;
    }

    private static long countOthers(VmId self, Collection<VmId> vms) {
        return vms.stream().filter(vm -> !vm.equals(self)).count();
    }
}
