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

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Makes the executors of a process, from the JDK's.
 *
 * <p>{@code ProcessThreads} is thread-safe and immutable.
 */
public final class ProcessThreads {

    /** How long an idle thread is kept, in seconds. */
    private static final long KEEP_SECONDS = 30;

    /** No instances. */
    private ProcessThreads() {}

    /**
     * Makes an executor that has a thread for each piece of work.
     *
     * @param name the start of the threads' names
     * @return the executor
     */
    public static ExecutorService newCached(String name) {
        return Executors.newCachedThreadPool(factory(name));
    }

    /**
     * Makes an executor with a bounded number of threads, which lets more work wait.
     *
     * @param name the start of the threads' names
     * @param most the most threads
     * @return the executor
     */
    public static ExecutorService newBounded(String name, int most) {
        ThreadPoolExecutor pool =
                new ThreadPoolExecutor(
                        most,
                        most,
                        KEEP_SECONDS,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        factory(name));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    /**
     * Makes an executor for timers.
     *
     * @param name the start of the threads' names
     * @param threads the number of threads
     * @return the executor
     */
    public static ScheduledExecutorService newScheduled(String name, int threads) {
        ScheduledThreadPoolExecutor pool = new WatchedTimers(name, threads);
        pool.setRemoveOnCancelPolicy(true);
        return pool;
    }

    private static ThreadFactory factory(String name) {
        AtomicInteger number = new AtomicInteger();
        return work -> {
            Thread thread = new Thread(work, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler((at, thrown) -> WorkFailures.record(name, thrown));
            return thread;
        };
    }

    /** Timers that tell what their work throws, which the JDK's keep in a future. */
    private static final class WatchedTimers extends ScheduledThreadPoolExecutor {

        /** The name of the threads. */
        private final String name;

        WatchedTimers(String name, int threads) {
            super(threads, factory(name));
            this.name = name;
        }

        @Override
        protected void afterExecute(Runnable work, Throwable thrown) {
            super.afterExecute(work, thrown);
            if (work instanceof Future<?> ended && ended.isDone() && !ended.isCancelled()) {
                try {
                    ended.get();
                } catch (ExecutionException failed) {
                    WorkFailures.record(name, failed.getCause());
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
