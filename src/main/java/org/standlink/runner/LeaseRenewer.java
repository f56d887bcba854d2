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
 * Renews the lease of an incarnation of a worker and requests its run lists.
 *
 * <p>A worker that did not answer may have restarted under its id, so it is sent nothing that holds
 * only for its earlier incarnation: it would discard ends of its own because of numbers recorded
 * for that one.
 *
 * <p>{@code LeaseRenewer} is not thread-safe; it is confined to the agent's event loop.
 */
final class LeaseRenewer {

    /** The lease end that leaves the lease of a worker as it is. */
    private static final long NO_EXTENSION = -1;

    private final WorkerContext context;

    private final WorkerLeaseClock leaseClock;

    private final EndAcknowledgements acknowledgements;

    /** Supplies the end of the lease, on the agent's clock, in milliseconds. */
    private final Supplier<Long> leaseEnd;

    LeaseRenewer(
            WorkerContext context,
            WorkerLeaseClock leaseClock,
            EndAcknowledgements acknowledgements,
            Supplier<Long> leaseEnd) {
        this.context = context;
        this.leaseClock = leaseClock;
        this.acknowledgements = acknowledgements;
        this.leaseEnd = leaseEnd;
    }

    /**
     * Renews the lease, if the worker answered the last call, acknowledges ends and requests the
     * lists.
     *
     * @param fence the fence of the orders in force
     * @param reachable whether the worker answered the last call
     * @param waitMillis how long the worker may wait for a run to end before it answers, in
     *     milliseconds; if starts wait for the acknowledgement, it answers at once
     * @return the answer
     */
    CompletableFuture<RenewalResult> renew(Fence fence, boolean reachable, long waitMillis) {
        long end = leaseEnd.get();
        boolean extend = leaseClock.isKnown() && reachable && end > context.clock().nowMillis();
        long leaseUntil = extend ? leaseClock.grantUntil(end) : NO_EXTENSION;
        long recordedEnd = reachable ? acknowledgements.getNextNumber() : 0;
        if (recordedEnd == 0 || !acknowledgements.areSeparatedFromStarts()) {
            return call(leaseUntil, fence, recordedEnd, waitMillis);
        }
        CompletableFuture<RenewalResult> answer = call(leaseUntil, fence, recordedEnd, 0);
        acknowledgements.track(answer, fence);
        return answer;
    }

    /**
     * Requests the lists without renewing the lease or waiting for a run to end.
     *
     * @param fence the fence of the orders in force
     * @param reachable whether the worker answered the last call
     * @return the answer
     */
    CompletableFuture<RenewalResult> requestLists(Fence fence, boolean reachable) {
        boolean acknowledge = reachable && !acknowledgements.areSeparatedFromStarts();
        return call(NO_EXTENSION, fence, acknowledge ? acknowledgements.getNextNumber() : 0, 0);
    }

    private CompletableFuture<RenewalResult> call(
            long leaseUntil, Fence fence, long recordedEnd, long waitMillis) {
        return context.client()
                .renew(context.worker().get(), leaseUntil, fence, recordedEnd, waitMillis);
    }
}
