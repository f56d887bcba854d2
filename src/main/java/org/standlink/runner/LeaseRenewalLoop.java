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
 * The renewals of a worker's lease, each of which leads to the next. They go on whatever one of
 * them throws: without them all that the worker runs would end.
 *
 * <p>{@code LeaseRenewalLoop} is not thread-safe; the agent's loop owns it.
 */
final class LeaseRenewalLoop {

    /** The name of the work in the log. */
    private static final String NAME = "renewal";

    /** The agent's loop. */
    private final ScheduledExecutorService loop;

    /** The pause after a renewal that failed, in milliseconds. */
    private final long pauseMillis;

    /** Renews the lease once. */
    private final Runnable renew;

    /**
     * Constructor.
     *
     * @param loop the agent's loop
     * @param pauseMillis the pause after a renewal that failed, in milliseconds
     * @param renew renews the lease once
     */
    LeaseRenewalLoop(ScheduledExecutorService loop, long pauseMillis, Runnable renew) {
        this.loop = loop;
        this.pauseMillis = pauseMillis;
        this.renew = renew;
    }

    /**
     * Renews once, later.
     *
     * @param millis after how long, in milliseconds
     */
    void schedule(long millis) {
        loop.schedule(guarded(renew), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Does something with the answer to a renewal; what it does is to lead to the next one.
     *
     * @param answer the answer, which tells failures of the worker itself
     * @param then takes the answer
     */
    void whenAnswered(CompletableFuture<RenewalResult> answer, Consumer<RenewalResult> then) {
        Guarded.thenIn(
                answer,
                loop,
                (result, failure) -> guarded(() -> take(result, failure, then)).run());
    }

    // -----------------------------------------------------------------------
    private Runnable guarded(Runnable work) {
        return Guarded.work(NAME, work, () -> schedule(pauseMillis));
    }

    private static void take(
            RenewalResult result, Throwable failure, Consumer<RenewalResult> then) {
        if (failure != null) {
            throw new CompletionException(failure);
        }
        then.accept(result);
    }
}
