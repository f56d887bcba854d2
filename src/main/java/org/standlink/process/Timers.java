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

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeoutException;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Runs repeating work. A failure is counted, and the work is run again at its next turn. The loss
 * of a dependency and its recovery are each logged once.
 *
 * <p>{@code Timers} is thread-safe.
 */
public final class Timers implements AutoCloseable {

    private static final System.Logger LOGGER = System.getLogger(Timers.class.getName());

    /** The value of the tag {@code code} for defects. */
    private static final String DEFECT = "DEFECT";

    /** The names of the work whose last run failed. */
    private final Set<String> failing = ConcurrentHashMap.newKeySet();

    private final ScheduledExecutorService scheduler;

    private final MeterRegistry registry;

    private final String counter;

    /**
     * Creates timers.
     *
     * @param scheduler runs the work
     * @param registry the registry of the counter
     * @param counter the name of the counter of failures
     */
    public Timers(ScheduledExecutorService scheduler, MeterRegistry registry, String counter) {
        this.scheduler = scheduler;
        this.registry = registry;
        this.counter = counter;
    }

    /**
     * Schedules repeating work, which starts at once.
     *
     * @param name the name of the work, also in the counter
     * @param delayMillis the delay between two runs, in milliseconds
     * @param work the work
     */
    public void scheduleRepeating(String name, long delayMillis, Runnable work) {
        Guarded.scheduleRepeating(name, scheduler, delayMillis, () -> run(name, work));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private void run(String name, Runnable work) {
        try {
            work.run();
            recordSuccess(name);
        } catch (StandlinkException failure) {
            recordFailure(name, failure.getCode().name(), failure);
        } catch (CompletionException failure) {
            recordFailure(name, codeOf(failure), failure.getCause());
        } catch (RuntimeException defect) {
            count(name, DEFECT);
            LOGGER.log(System.Logger.Level.ERROR, "defect in " + name, defect);
        }
    }

    /** Logs the recovery of work that had failed. */
    private void recordSuccess(String name) {
        if (failing.remove(name)) {
            LOGGER.log(System.Logger.Level.INFO, name + " succeeds again");
        }
    }

    /** Counts a failure of a dependency of this process and logs the first one in a row. */
    private void recordFailure(String name, String code, Throwable cause) {
        count(name, code);
        if (failing.add(name)) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    name + " failed and will be retried: " + code + ", " + cause);
        }
    }

    private static String codeOf(CompletionException failure) {
        Throwable cause = failure.getCause();
        if (cause instanceof StandlinkException known) {
            return known.getCode().name();
        }
        return cause instanceof TimeoutException ? ErrorCode.TIMEOUT.name() : DEFECT;
    }

    private void count(String name, String code) {
        registry.counter(counter, "work", name, "code", code).increment();
    }
}
