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
 * What the leader has granted an agent: until when each worker may keep its runs, and the fence of
 * the orders that hold.
 *
 * <p>{@code AgentLease} is mutable and not thread-safe; the agent's loop owns it.
 */
final class AgentLease {

    /** Tells the newest epoch known. */
    private final Supplier<Epoch> epoch;

    /** The highest fence that a leader has told. */
    private Fence granted = Fence.NONE;

    /** Until when each worker may keep its runs, on the agent's clock, in milliseconds. */
    private final Map<WorkerIncarnation, Long> ends = new HashMap<>();

    /** By how much the agent's clock has fallen behind since it started, in milliseconds. */
    private long behindMillis;

    /**
     * Constructor.
     *
     * @param epoch tells the newest epoch known
     */
    AgentLease(Supplier<Epoch> epoch) {
        this.epoch = epoch;
    }

    /**
     * Gets the fence under which workers are called.
     *
     * @return the fence; of the generation before the first if the leader has not told one
     */
    Fence getFence() {
        Epoch newest = epoch.get();
        return newest.isAfter(granted.getEpoch())
                ? Fence.of(newest, LeaseGeneration.NONE)
                : granted;
    }

    /**
     * Takes note of a fence that a leader has told.
     *
     * @param told the fence
     * @return true if it is higher than any before, so that older orders are void
     */
    boolean adopt(Fence told) {
        boolean newer =
                told.isAfter(granted) && told.getEpoch().compareTo(getFence().getEpoch()) >= 0;
        if (newer) {
            granted = told;
        }
        return newer;
    }

    /**
     * Prolongs the time for which workers may keep their runs.
     *
     * @param named the workers that the report named; the leader's book says nothing of others
     * @param mark the mark of the time at which the report was sent
     * @param millis for how long from then, in milliseconds
     */
    void extend(Collection<WorkerIncarnation> named, long mark, long millis) {
        long until = mark + millis - behindMillis;
        named.forEach(worker -> ends.merge(worker, until, Math::max));
    }

    /**
     * Takes note that the agent's clock stood still, so that all leases end sooner on it.
     *
     * @param millis for how long, in milliseconds
     */
    void compensateClockLag(long millis) {
        behindMillis += millis;
        ends.replaceAll((worker, end) -> end - millis);
    }

    /**
     * Marks a time, so that what the clock falls behind until it is used does not count.
     *
     * @param now the time on the agent's clock, in milliseconds
     * @return the mark
     */
    long markTime(long now) {
        return now + behindMillis;
    }

    /**
     * Forgets a worker whose life is over.
     *
     * @param worker the life
     */
    void remove(WorkerIncarnation worker) {
        ends.remove(worker);
    }

    /**
     * Gets until when a worker may keep its runs.
     *
     * @param worker the worker
     * @return the time on the agent's clock, in milliseconds; 0 if it was never granted
     */
    long getEnd(WorkerIncarnation worker) {
        return ends.getOrDefault(worker, 0L);
    }

    /**
     * Gets until when each worker may keep its runs.
     *
     * @return the times on the agent's clock, in milliseconds
     */
    Collection<Long> getEnds() {
        return ends.values();
    }
}
