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
package org.standlink.cell;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.standlink.process.Guarded;
import org.standlink.process.WorkFailures;

/**
 * Runs all work of a leader on its event loop, and ends the leader if any of it throws.
 *
 * <p>After an exception the state of the leader may be inconsistent: records that were taken for an
 * append are lost, while the actions that wait for them would still run. The leader therefore does
 * nothing more, and another one reads the state again. That delays callers by some hundred
 * milliseconds; continuing would lose jobs or run them twice.
 *
 * <p>{@code LeaderLoop} is thread-safe.
 */
final class LeaderLoop implements Executor {

    /** The name of the work in the log. */
    private static final String NAME = "leader";

    /** The executor, of one thread. */
    private final ScheduledExecutorService loop;

    private final Runnable failureHandler;

    /**
     * Creates an event loop that runs on an executor.
     *
     * @param loop the executor, of one thread
     * @param failureHandler ends the leader; called on the event loop
     */
    LeaderLoop(ScheduledExecutorService loop, Runnable failureHandler) {
        this.loop = loop;
        this.failureHandler = failureHandler;
    }

    @Override
    public void execute(Runnable work) {
        loop.execute(() -> run(work));
    }

    /**
     * Runs work once after a delay.
     *
     * @param millis the delay, in milliseconds
     * @param work the work
     */
    void schedule(long millis, Runnable work) {
        loop.schedule(() -> run(work), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs work repeatedly, the first time at once.
     *
     * @param pauseMillis the pause between two runs, in milliseconds
     * @param work the work
     * @return the handle to cancel it
     */
    ScheduledFuture<?> scheduleRepeating(long pauseMillis, Runnable work) {
        return Guarded.scheduleRepeating(NAME, loop, pauseMillis, () -> run(work));
    }

    /**
     * Runs an action on the event loop once a future has completed.
     *
     * @param future the future
     * @param action the action, which takes the value or the failure
     * @param <T> the type of the value
     */
    <T> void onCompletion(CompletableFuture<T> future, BiConsumer<? super T, Throwable> action) {
        Guarded.onCompletionInLoop(future, this, action);
    }

    // -----------------------------------------------------------------------
    private void run(Runnable work) {
        try {
            work.run();
        } catch (Throwable thrown) {
            Guarded.work("leader-end", failureHandler).run();
            WorkFailures.record(NAME, thrown);
        }
    }
}
