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
 * Creates the executors of a process, which record the exceptions of their work.
 *
 * <p>{@code ProcessThreads} is thread-safe and immutable.
 */
public final class ProcessThreads {

    /** The time that an idle thread is kept, in seconds. */
    private static final long KEEP_ALIVE_SECONDS = 30;

    private ProcessThreads() {}

    /**
     * Creates an executor that runs each task on a thread of its own.
     *
     * @param name the prefix of the thread names
     * @return the executor
     */
    public static ExecutorService newCached(String name) {
        return Executors.newCachedThreadPool(factory(name));
    }

    /**
     * Creates an executor with a bounded number of threads, which queues further tasks.
     *
     * @param name the prefix of the thread names
     * @param maxThreads the maximum number of threads
     * @return the executor
     */
    public static ExecutorService newBounded(String name, int maxThreads) {
        ThreadPoolExecutor pool =
                new ThreadPoolExecutor(
                        maxThreads,
                        maxThreads,
                        KEEP_ALIVE_SECONDS,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        factory(name));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    /**
     * Creates an executor for timers.
     *
     * @param name the prefix of the thread names
     * @param threads the number of threads
     * @return the executor
     */
    public static ScheduledExecutorService newScheduled(String name, int threads) {
        ScheduledThreadPoolExecutor pool = new MonitoredScheduler(name, threads);
        pool.setRemoveOnCancelPolicy(true);
        return pool;
    }

    private static ThreadFactory factory(String name) {
        AtomicInteger number = new AtomicInteger();
        return work -> {
            Thread thread = new Thread(work, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler(
                    (failedThread, thrown) -> WorkFailures.record(name, thrown));
            return thread;
        };
    }

    /** Records the exceptions of its tasks, which the JDK's scheduler only stores in a future. */
    private static final class MonitoredScheduler extends ScheduledThreadPoolExecutor {

        private final String name;

        MonitoredScheduler(String name, int threads) {
            super(threads, factory(name));
            this.name = name;
        }

        @Override
        protected void afterExecute(Runnable work, Throwable thrown) {
            super.afterExecute(work, thrown);
            if (work instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
                try {
                    future.get();
                } catch (ExecutionException e) {
                    WorkFailures.record(name, e.getCause());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
