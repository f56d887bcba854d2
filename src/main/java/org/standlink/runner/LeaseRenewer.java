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

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.standlink.Fence;

/**
 * The calls that renew the lease of one life of a worker and ask for its lists.
 *
 * <p>A worker that did not answer may have started again under its id, so it is told nothing that
 * holds for its former life only: it would forget ends of its own by numbers recorded before.
 *
 * <p>{@code LeaseRenewer} is not thread-safe; the agent's loop owns it.
 */
final class LeaseRenewer {

    /** Tells a worker to keep its runs no longer than it was told before. */
    private static final long NOT_LONGER = -1;

    /** What calls of the worker need. */
    private final WorkerContext context;

    /** What the worker's clock says. */
    private final WorkerLeaseClock leaseClock;

    /** What the worker said of its runs. */
    private final RunListTracker lists;

    /** Tells until when runs may go on, on the agent's clock. */
    private final Supplier<Long> leaseEnd;

    /**
     * Constructor.
     *
     * @param context what calls of the worker need
     * @param leaseClock what the worker's clock says
     * @param lists what the worker said of its runs
     * @param leaseEnd tells until when runs may go on, on the agent's clock
     */
    LeaseRenewer(
            WorkerContext context,
            WorkerLeaseClock leaseClock,
            RunListTracker lists,
            Supplier<Long> leaseEnd) {
        this.context = context;
        this.leaseClock = leaseClock;
        this.lists = lists;
        this.leaseEnd = leaseEnd;
    }

    /**
     * Renews the lease, if the worker answered the last call, and asks for the lists.
     *
     * @param fence the fence of the orders in force
     * @param reachable whether the worker answered the last call
     * @param waitMillis how long the worker may wait for an end, in milliseconds
     * @return the answer
     */
    CompletableFuture<RenewalResult> renew(Fence fence, boolean reachable, long waitMillis) {
        long end = leaseEnd.get();
        boolean prolong = leaseClock.isKnown() && reachable && end > context.clock().nowMillis();
        long until = prolong ? leaseClock.grantUntil(end) : NOT_LONGER;
        return call(until, fence, reachable, waitMillis);
    }

    /**
     * Asks for the lists at once.
     *
     * @param fence the fence of the orders in force
     * @param reachable whether the worker answered the last call
     * @return the answer
     */
    CompletableFuture<RenewalResult> requestLists(Fence fence, boolean reachable) {
        return call(NOT_LONGER, fence, reachable, 0);
    }

    private CompletableFuture<RenewalResult> call(
            long until, Fence fence, boolean reachable, long waitMillis) {
        long recordedEnd = reachable ? lists.getEndToAcknowledge() : 0;
        return context.client()
                .renew(context.worker().get(), until, fence, recordedEnd, waitMillis);
    }
}
