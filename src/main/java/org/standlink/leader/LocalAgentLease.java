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
 * Decides whether a leader may grant a lease to the agent of its own process, and when its
 * successor may be sure that it no longer does.
 *
 * <p>A leader that has lost touch with everything must not go on granting leases to itself until
 * its authority ends, or else each death of a leader's VM would hold up its tasks for that long. So
 * it does so only while it has read the log, or heard from more than half of the other agents,
 * within the length of a node lease. Once a successor has been acknowledged by so many of them that
 * no such half is left, the last lease that the old leader can have granted to itself ends two node
 * leases later. A heartbeat counts by when it was sent, as one that was long on its way says
 * nothing of whom its agent follows now.
 *
 * <p>{@code LocalAgentLease} is thread-safe and immutable.
 */
final class LocalAgentLease {

    /** No instances. */
    private LocalAgentLease() {}

    /**
     * Checks whether a leader may grant a lease to its own agent.
     *
     * @param logAgeMillis how long ago the log was last read, in milliseconds
     * @param self the VM of the leader
     * @param epoch its epoch
     * @param vms the VMs of the cell
     * @param agents what it knows of the agents
     * @param times the lengths of leases
     * @param nowMillis the time, in milliseconds
     * @return true if it may
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
        long heard =
                vms.stream()
                        .filter(vm -> !vm.equals(self))
                        .map(agents::get)
                        .filter(agent -> agent != null && agent.hasReported())
                        .filter(
                                agent ->
                                        agent.hasFollowedWithin(
                                                epoch, times.nodeMillis(), nowMillis))
                        .count();
        return heard > others / 2;
    }

    /**
     * Checks whether enough agents have acknowledged a successor that the old leader can no longer
     * hear from more than half of the others.
     *
     * @param old the VM of the old leader
     * @param vms the VMs of the cell
     * @param agents what the successor knows of the agents
     * @return true if so
     */
    static boolean hasLostMajority(VmId old, Collection<VmId> vms, Map<VmId, AgentEntry> agents) {
        long others = countOthers(old, vms);
        long acknowledged =
                vms.stream()
                        .filter(vm -> !vm.equals(old))
                        .map(agents::get)
                        .filter(agent -> agent != null && agent.isAcknowledged())
                        .count();
        return others > 0 && others - acknowledged <= others / 2;
    }

    private static long countOthers(VmId self, Collection<VmId> vms) {
        return vms.stream().filter(vm -> !vm.equals(self)).count();
    }
}
