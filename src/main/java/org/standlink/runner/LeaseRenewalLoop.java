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
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.standlink.process.Guarded;

/**
 * The successive renewals of a worker's lease, each of which schedules the next. They continue
 * whatever one of them throws: without them all runs of the worker would end.
 *
 * <p>{@code LeaseRenewalLoop} is not thread-safe; it is confined to the agent's event loop.
 */
final class LeaseRenewalLoop {

    /** The name of this work in the log. */
    private static final String WORK_NAME = "renewal";

    private final ScheduledExecutorService loop;

    /** The delay after a failed renewal, in milliseconds. */
    private final long retryDelayMillis;

    /** Renews the lease once. */
    private final Runnable renewal;

    LeaseRenewalLoop(ScheduledExecutorService loop, long retryDelayMillis, Runnable renewal) {
        this.loop = loop;
        this.retryDelayMillis = retryDelayMillis;
        this.renewal = renewal;
    }

    /**
     * Schedules a renewal.
     *
     * @param millis the delay, in milliseconds
     */
    void schedule(long millis) {
        loop.schedule(guarded(renewal), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Handles the answer to a renewal on the agent's event loop.
     *
     * @param answer the answer, which reports failures of the worker itself as a result
     * @param handler handles the answer and has to schedule the next renewal
     */
    void whenAnswered(CompletableFuture<RenewalResult> answer, Consumer<RenewalResult> handler) {
        Guarded.onCompletionInLoop(
                answer,
                loop,
                (result, failure) -> guarded(() -> accept(result, failure, handler)).run());
    }

    // -----------------------------------------------------------------------
    private Runnable guarded(Runnable work) {
        return Guarded.work(WORK_NAME, work, () -> schedule(retryDelayMillis));
    }

    private static void accept(
            RenewalResult result, Throwable failure, Consumer<RenewalResult> handler) {
        if (failure != null) {
            throw new CompletionException(failure);
        }
        handler.accept(result);
    }
}
