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
 * Calls of workers, but for starts in evacuated halls, which are answered here. The leader that
 * ordered such a start may be cut off, gone or slower to read what the operator wants.
 *
 * <p>{@code EvacuationGuard} is as thread-safe as the calls it passes on.
 */
final class EvacuationGuard implements WorkerClient {

    /** The answer to a start that was not passed on. */
    private static final CallResult NOT_CALLED =
            new CallResult(CallResult.Kind.EVACUATED, CallResult.NO_CLOCK, "hall evacuated");

    /** The calls. */
    private final WorkerClient calls;

    /** The halls that this process knows to be evacuated. */
    private final Supplier<EvacuatedHalls> evacuated;

    /**
     * Constructor.
     *
     * @param calls the calls that are passed on
     * @param evacuated the halls that this process knows to be evacuated
     */
    EvacuationGuard(WorkerClient calls, Supplier<EvacuatedHalls> evacuated) {
        this.calls = calls;
        this.evacuated = evacuated;
    }

    // -----------------------------------------------------------------------
    @Override
    public CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long untilMillis, Fence fence) {
        return evacuated.get().contains(worker.hall())
                ? CompletableFuture.completedFuture(NOT_CALLED)
                : calls.start(worker, order, untilMillis, fence);
    }

    @Override
    public CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence) {
        return calls.stop(worker, run, fence);
    }

    @Override
    public CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence) {
        return calls.throttle(worker, run, percent, fence);
    }

    @Override
    public CompletableFuture<RenewalResult> renew(
            WorkerDescription worker, long untilMillis, Fence fence, long recorded, long wait) {
        return calls.renew(worker, untilMillis, fence, recorded, wait);
    }
}
