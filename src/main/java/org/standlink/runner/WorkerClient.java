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
import org.standlink.Fence;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.wire.StartOrder;

/**
 * Calls a worker.
 *
 * <p>Each call names the incarnation of the worker to which it is addressed; another incarnation
 * does nothing.
 *
 * <p>Implementations must be thread-safe.
 */
public interface WorkerClient {

    /**
     * Starts a run. The call is idempotent.
     *
     * @param worker the worker
     * @param order the order to start the run
     * @param leaseUntil the end of the lease for all runs of the worker, on the worker's clock, in
     *     milliseconds
     * @param fence the fence of the orders in force
     * @return the result; never completes exceptionally
     */
    CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long leaseUntil, Fence fence);

    /**
     * Stops a run; the worker also refuses the run if its start arrives later.
     *
     * @param worker the worker
     * @param run the run
     * @param fence the fence of the orders in force
     * @return the result; never completes exceptionally
     */
    CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence);

    /**
     * Extends the lease for all runs of the worker, and lists running and ended runs.
     *
     * @param worker the worker
     * @param leaseUntil the end of the lease, on the worker's clock, in milliseconds; negative not
     *     to extend it
     * @param fence the fence of the orders in force
     * @param recordedEnd the number of the last recorded end; the worker discards the ends up to it
     * @param waitMillis how long the worker may wait for a run to end before it answers, in
     *     milliseconds
     * @return the answer, with no running runs if the worker did not carry out the call
     */
    CompletableFuture<RenewalResult> renew(
            WorkerDescription worker,
            long leaseUntil,
            Fence fence,
            long recordedEnd,
            long waitMillis);

    /**
     * Sets the share of time for which a run may run.
     *
     * @param worker the worker
     * @param run the run
     * @param percent the share, 0 to 100
     * @param fence the fence of the orders in force
     * @return the result; never completes exceptionally
     */
    CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence);
}
