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
 * The calls that a worker takes.
 *
 * <p>Each call names the life of the worker that it is meant for; another life does nothing.
 *
 * <p>Implementations must be thread-safe.
 */
public interface WorkerClient {

    /**
     * Starts a run; repeating the call does no harm.
     *
     * @param worker the worker
     * @param order the run
     * @param leaseUntil until when the worker keeps all it runs, on its own clock
     * @param fence the fence of the orders in force
     * @return what the worker said; never fails
     */
    CompletableFuture<CallResult> start(
            WorkerDescription worker, StartOrder order, long leaseUntil, Fence fence);

    /**
     * Stops a run; the worker also refuses the run if its start comes later.
     *
     * @param worker the worker
     * @param run the run
     * @param fence the fence of the orders in force
     * @return what the worker said; never fails
     */
    CompletableFuture<CallResult> stop(WorkerDescription worker, RunId run, Fence fence);

    /**
     * Prolongs the time for which the worker keeps all it runs, and asks what runs and has ended.
     *
     * @param worker the worker
     * @param leaseUntil until when, on the worker's clock; negative to prolong nothing
     * @param fence the fence of the orders in force
     * @param recordedEnd the last end that has been recorded; the worker forgets it
     * @param waitMillis how long the worker may wait for an end, in milliseconds
     * @return the answer, with an empty list of what runs if the worker did not take the call
     */
    CompletableFuture<RenewalResult> renew(
            WorkerDescription worker,
            long leaseUntil,
            Fence fence,
            long recordedEnd,
            long waitMillis);

    /**
     * Sets the share of time for which a run works.
     *
     * @param worker the worker
     * @param run the run
     * @param percent the share, 0 to 100
     * @param fence the fence of the orders in force
     * @return what the worker said; never fails
     */
    CompletableFuture<CallResult> throttle(
            WorkerDescription worker, RunId run, int percent, Fence fence);
}
