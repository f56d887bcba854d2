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
 * Hands over work that nobody waits for, so that none of it ends unseen: what it throws goes to
 * {@link WorkFailures}.
 *
 * <p>The JDK keeps what such work throws in a future that nobody looks at, and never repeats work
 * that threw once.
 *
 * <p>{@code Guarded} is thread-safe and immutable.
 */
public final class Guarded {

    /** No instances. */
    private Guarded() {}

    /**
     * Makes work that throws nothing.
     *
     * @param name what the work is, in words joined by hyphens
     * @param work the work
     * @return the work, whose failures are noted
     */
    public static Runnable work(String name, Runnable work) {
        return work(name, work, () -> {});
    }

    /**
     * Makes work that throws nothing, and does something instead if it fails.
     *
     * @param name what the work is, in words joined by hyphens
     * @param work the work
     * @param whenFailed what is done after a failure, so that whatever depends on the work goes on
     * @return the work, whose failures are noted
     */
    public static Runnable work(String name, Runnable work, Runnable whenFailed) {
        return () -> {
            try {
                work.run();
            } catch (Throwable thrown) {
                WorkFailures.record(name, thrown);
                whenFailed.run();
            }
        };
    }

    /**
     * Runs work again and again, the first time at once, also after it has failed.
     *
     * @param name what the work is, in words joined by hyphens
     * @param timers the threads
     * @param pauseMillis the pause between two runs, in milliseconds
     * @param work the work
     * @return the series, which can be cancelled
     */
    public static ScheduledFuture<?> scheduleRepeating(
            String name, ScheduledExecutorService timers, long pauseMillis, Runnable work) {
        return timers.scheduleWithFixedDelay(
                work(name, work), 0, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Does something with the result of a future, on the thread that completes it.
     *
     * @param name what that is, in words joined by hyphens
     * @param future the future
     * @param then takes the value or the failure
     * @param <T> the type of the value
     * @return the same result, once that is done
     */
    public static <T> CompletableFuture<T> onCompletion(
            String name, CompletableFuture<T> future, BiConsumer<? super T, Throwable> then) {
        return future.whenComplete(
                (value, failure) -> work(name, () -> then.accept(value, failure)).run());
    }

    /**
     * Does something with the result of a future, on an executor.
     *
     * @param name what that is, in words joined by hyphens
     * @param future the future
     * @param executor where it is done
     * @param then takes the value or the failure
     * @param <T> the type of the value
     */
    public static <T> void onCompletionAsync(
            String name,
            CompletableFuture<T> future,
            Executor executor,
            BiConsumer<? super T, Throwable> then) {
        future.whenComplete(
                (value, failure) ->
                        handOver(executor, work(name, () -> then.accept(value, failure))));
    }

    /**
     * Does something with the result of a future, on an executor that sees to failures itself, such
     * as a leader's loop: there a throw must not be noted only, but end the leader.
     *
     * @param future the future
     * @param executor where it is done
     * @param then takes the value or the failure
     * @param <T> the type of the value
     */
    public static <T> void onCompletionInLoop(
            CompletableFuture<T> future, Executor executor, BiConsumer<? super T, Throwable> then) {
        future.whenComplete(
                (value, failure) -> handOver(executor, () -> then.accept(value, failure)));
    }

    /**
     * Runs work once, later, on a thread of the JDK's.
     *
     * @param millis after how long, in milliseconds
     * @param work the work, which throws nothing
     */
    public static void schedule(long millis, Runnable work) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(work);
    }

    private static void handOver(Executor executor, Runnable work) {
        try {
            executor.execute(work);
        } catch (RejectedExecutionException ending) {
            // The process ends and its executors are closed; nothing is left to tell.
            return;
        } catch (Throwable thrown) {
            WorkFailures.record("hand-over", thrown);
        }
    }
}
