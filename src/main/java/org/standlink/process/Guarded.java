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
package org.standlink.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Runs work whose result is not awaited and reports the exceptions that it throws to {@link
 * WorkFailures}.
 *
 * <p>The JDK stores such an exception in a future that is never read, and does not run repeating
 * work again after it has thrown once.
 *
 * <p>{@code Guarded} is thread-safe and immutable.
 */
public final class Guarded {

    private Guarded() {}

    /**
     * Wraps work so that it throws nothing.
     *
     * @param name the name of the work, in words joined by hyphens
     * @param work the work
     * @return the wrapped work, which records its failures
     */
    public static Runnable work(String name, Runnable work) {
        return work(name, work, () -> {});
    }

    /**
     * Wraps work so that it throws nothing and runs an action if it fails.
     *
     * @param name the name of the work, in words joined by hyphens
     * @param work the work
     * @param failureAction is run after a failure, so that what depends on the work continues
     * @return the wrapped work, which records its failures
     */
    public static Runnable work(String name, Runnable work, Runnable failureAction) {
        return () -> {
            try {
                work.run();
            } catch (Throwable thrown) {
                WorkFailures.record(name, thrown);
                failureAction.run();
            }
        };
    }

    /**
     * Schedules repeating work, which starts at once and continues after failures.
     *
     * @param name the name of the work, in words joined by hyphens
     * @param scheduler runs the work
     * @param delayMillis the delay between two runs, in milliseconds
     * @param work the work
     * @return a future that cancels the repetition
     */
    public static ScheduledFuture<?> scheduleRepeating(
            String name, ScheduledExecutorService scheduler, long delayMillis, Runnable work) {
        return scheduler.scheduleWithFixedDelay(
                work(name, work), 0, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action on the result of a future, on the thread that completes it.
     *
     * @param name the name of the action, in words joined by hyphens
     * @param future the future
     * @param action receives the value or the failure
     * @param <T> the type of the value
     * @return a future with the same result that completes after the action
     */
    public static <T> CompletableFuture<T> onCompletion(
            String name, CompletableFuture<T> future, BiConsumer<? super T, Throwable> action) {
        return future.whenComplete(
                (value, failure) -> work(name, () -> action.accept(value, failure)).run());
    }

    /**
     * Runs an action on the result of a future, on an executor.
     *
     * @param name the name of the action, in words joined by hyphens
     * @param future the future
     * @param executor runs the action
     * @param action receives the value or the failure
     * @param <T> the type of the value
     */
    public static <T> void onCompletionAsync(
            String name,
            CompletableFuture<T> future,
            Executor executor,
            BiConsumer<? super T, Throwable> action) {
        future.whenComplete(
                (value, failure) ->
                        handOver(executor, work(name, () -> action.accept(value, failure))));
    }

    /**
     * Runs an action on the result of a future, on an executor that handles exceptions itself, such
     * as a leader's event loop: there an exception must not only be recorded but end the leader.
     *
     * @param future the future
     * @param executor runs the action
     * @param action receives the value or the failure
     * @param <T> the type of the value
     */
    public static <T> void onCompletionInLoop(
            CompletableFuture<T> future,
            Executor executor,
            BiConsumer<? super T, Throwable> action) {
        future.whenComplete(
                (value, failure) -> handOver(executor, () -> action.accept(value, failure)));
    }

    /**
     * Schedules work to run once on the JDK's default executor.
     *
     * @param millis the delay, in milliseconds
     * @param work the work, which must not throw
     */
    public static void schedule(long millis, Runnable work) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(work);
    }

    private static void handOver(Executor executor, Runnable work) {
        try {
            executor.execute(work);
        } catch (RejectedExecutionException e) {
            // The process is ending and its executors are closed, so there is nothing to report.
            return;
        } catch (Throwable thrown) {
            WorkFailures.record("hand-over", thrown);
        }
    }
}
