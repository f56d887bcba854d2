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
 * What all that calls one worker needs.
 *
 * <p>{@code WorkerContext} is immutable; what it holds belongs to the agent's loop.
 *
 * @param worker tells what the worker said of itself
 * @param client the calls of workers
 * @param clock the clock
 * @param loop the agent's loop
 * @param fence tells the fence of the orders in force
 */
record WorkerContext(
        Supplier<WorkerDescription> worker,
        WorkerClient client,
        MonotonicClock clock,
        ScheduledExecutorService loop,
        Supplier<Fence> fence) {

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerContext.class);

    /**
     * Does something with the answer to a call, on the agent's loop.
     *
     * @param call the name of the call
     * @param answer the answer
     * @param then takes the answer; a call that fails altogether may have been heard
     */
    void whenAnswered(
            String call, CompletableFuture<CallResult> answer, Consumer<CallResult> then) {
        Guarded.thenOn(
                "worker-" + call,
                answer,
                loop,
                (result, failure) -> then.accept(failure == null ? result : unknown(failure)));
    }

    /**
     * Does something later, on the agent's loop.
     *
     * @param millis after how long, in milliseconds
     * @param work what is done
     */
    void schedule(long millis, Runnable work) {
        loop.schedule(work, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Writes what became of a call.
     *
     * @param call the name of the call
     * @param run the run that it was about
     * @param result the answer
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

    private static CallResult unknown(Throwable failure) {
        return new CallResult(CallResult.Kind.UNKNOWN, CallResult.NO_CLOCK, failure.toString());
    }
}
