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
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.wire.StartOrder;

/**
 * A client that refuses starts in evacuated halls and forwards all other calls. The leader that
 * ordered such a start may be partitioned, replaced or late in reading the operator's command.
 *
 * <p>{@code EvacuationGuard} is as thread-safe as the client to which it forwards.
 */
final class EvacuationGuard implements WorkerClient {

    /** The answer to a start that was not forwarded. */
    private static final CallResult NOT_CALLED =
            new CallResult(CallResult.Kind.EVACUATED, CallResult.NO_CLOCK, "hall evacuated");

    private final WorkerClient client;

    /** Supplies the halls that this process knows to be evacuated. */
    private final Supplier<EvacuatedHalls> evacuatedHalls;

    EvacuationGuard(WorkerClient client, Supplier<EvacuatedHalls> evacuatedHalls) {
        this.client = client;
        this.evacuatedHalls = evacuatedHalls;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long leaseUntil, Fence fence) {
        return evacuatedHalls.get().contains(worker.hall())
                ? CompletableFuture.completedFuture(NOT_CALLED)
                : client.start(worker, order, leaseUntil, fence);
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence) {
        return client.stop(worker, run, fence);
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence) {
        return client.throttle(worker, run, percent, fence);
    }

    @Override
    public CompletableFuture<RenewalResult> renew(
            WorkerDescription worker,
            long leaseUntil,
            Fence fence,
            long recordedEnd,
            long waitMillis) {
        return client.renew(worker, leaseUntil, fence, recordedEnd, waitMillis);
    }
}
