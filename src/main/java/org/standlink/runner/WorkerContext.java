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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.standlink.Fence;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;

/**
 * The dependencies of all classes that call one worker.
 *
 * <p>{@code WorkerContext} is immutable; its components are confined to the agent's event loop.
 *
 * @param worker supplies the last reported description of the worker
 * @param client the client of the workers
 * @param clock the clock
 * @param loop the agent's event loop
 * @param fence supplies the fence of the orders in force
 */
record WorkerContext(
        Supplier<WorkerDescription> worker,
        WorkerClient client,
        MonotonicClock clock,
        ScheduledExecutorService loop,
        Supplier<Fence> fence) {

    private static final EventLog LOG = EventLog.of(WorkerContext.class);

    /**
     * Checks whether the next incarnation of the worker may have the same id, so that it may carry
     * out calls that were meant for this one.
     *
     * @return true if the worker reports start times
     */
    boolean mayKeepId() {
        return worker.get().incarnation().hasStartTime();
    }

    /**
     * Handles the answer to a call on the agent's event loop.
     *
     * @param call the name of the call
     * @param answer the answer
     * @param handler handles the answer; if the call failed altogether, the worker may have
     *     received it
     */
    void whenAnswered(
            String call, CompletableFuture<CallResult> answer, Consumer<CallResult> handler) {
        Guarded.onCompletionAsync(
                "worker-" + call,
                answer,
                loop,
                (result, failure) ->
                        handler.accept(failure == null ? result : unknownResult(failure)));
    }

    /**
     * Executes an action later on the agent's event loop.
     *
     * @param millis the delay, in milliseconds
     * @param action the action
     */
    void schedule(long millis, Runnable action) {
        loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Logs the outcome of a call.
     *
     * @param call the name of the call
     * @param run the run
     * @param result the outcome
     */
    void logResult(String call, RunId run, CallResult result) {
        LOG.info("worker-" + call)
                .with("run", run)
                .with("worker", worker.get().incarnation())
                .with("fence", fence.get())
                .with("result", result.kind())
                .with("detail", result.detail())
                .write();
    }

    private static CallResult unknownResult(Throwable failure) {
        return new CallResult(CallResult.Kind.UNKNOWN, CallResult.NO_CLOCK, failure.toString());
    }
}
