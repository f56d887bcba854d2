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
package org.standlink.runner;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.Fence;
import org.standlink.LeaseGeneration;
import org.standlink.job.WorkerIncarnation;

/**
 * The leases and the fence that the leader has granted to an agent: the end of each worker's lease,
 * and the fence of the orders in force.
 *
 * <p>{@code AgentLease} is mutable and not thread-safe; it is confined to the agent's event loop.
 */
final class AgentLease {

    /** Supplies the newest known epoch. */
    private final Supplier<Epoch> epoch;

    /** The highest fence received from a leader. */
    private Fence grantedFence = Fence.NONE;

    /** The end of each worker's lease, on the agent's clock, in milliseconds. */
    private final Map<WorkerIncarnation, Long> leaseEnds = new HashMap<>();

    /**
     * The total time that the agent's clock has fallen behind since it started, in milliseconds.
     */
    private long clockLagMillis;

    AgentLease(Supplier<Epoch> epoch) {
        this.epoch = epoch;
    }

    /**
     * Gets the fence under which workers are called.
     *
     * @return the fence; of the generation before the first if the leader has not sent one
     */
    Fence getFence() {
        Epoch newest = epoch.get();
        return newest.isAfter(grantedFence.getEpoch())
                ? Fence.of(newest, LeaseGeneration.NONE)
                : grantedFence;
    }

    /**
     * Adopts a fence received from a leader if it is higher than the current one.
     *
     * @param fence the fence
     * @return true if it is higher than any before, so that earlier orders are superseded
     */
    boolean adopt(Fence fence) {
        boolean newer =
                fence.isAfter(grantedFence)
                        && fence.getEpoch().compareTo(getFence().getEpoch()) >= 0;
        if (newer) {
            grantedFence = fence;
        }
        return newer;
    }

    /**
     * Extends the leases of workers.
     *
     * @param reportedWorkers the workers named in the report; the leader's answer does not cover
     *     others
     * @param mark the time at which the report was sent, from {@link #markTime}
     * @param durationMillis the duration of the lease from that time, in milliseconds
     */
    void extend(Collection<WorkerIncarnation> reportedWorkers, long mark, long durationMillis) {
        long until = mark + durationMillis - clockLagMillis;
        reportedWorkers.forEach(worker -> leaseEnds.merge(worker, until, Math::max));
    }

    /**
     * Ends all leases sooner because the agent's clock fell behind.
     *
     * @param lagMillis the time that the clock fell behind, in milliseconds
     */
    void compensateClockLag(long lagMillis) {
        clockLagMillis += lagMillis;
        leaseEnds.replaceAll((worker, end) -> end - lagMillis);
    }

    /**
     * Marks a time, so that a lag of the clock found before the mark is used shortens the lease as
     * well.
     *
     * @param now the time on the agent's clock, in milliseconds
     * @return the mark
     */
    long markTime(long now) {
        return now + clockLagMillis;
    }

    /**
     * Removes the lease of an incarnation that has ended.
     *
     * @param worker the incarnation
     */
    void remove(WorkerIncarnation worker) {
        leaseEnds.remove(worker);
    }

    /**
     * Gets the end of a worker's lease.
     *
     * @param worker the worker
     * @return the time on the agent's clock, in milliseconds; 0 if no lease was granted
     */
    long getEnd(WorkerIncarnation worker) {
        return leaseEnds.getOrDefault(worker, 0L);
    }

    /**
     * Gets the ends of all leases.
     *
     * @return the times on the agent's clock, in milliseconds
     */
    Collection<Long> getEnds() {
        return leaseEnds.values();
    }
}
