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
 * Runs work again and again; a failure is counted and the work goes on the next time. When
 * something that it depends on is lost or regained, one line says so.
 *
 * <p>{@code Timers} is thread-safe.
 */
public final class Timers implements AutoCloseable {

    /** The log of defects. */
    private static final System.Logger LOGGER = System.getLogger(Timers.class.getName());

    /** The code under which defects are counted. */
    private static final String DEFECT = "DEFECT";

    /** The work that failed the last time. */
    private final Set<String> failing = ConcurrentHashMap.newKeySet();

    /** The threads. */
    private final ScheduledExecutorService scheduler;

    /** Where failures are counted. */
    private final MeterRegistry registry;

    /** The name of the counter of failures. */
    private final String counter;

    /**
     * Constructor.
     *
     * @param scheduler the threads
     * @param registry where failures are counted
     * @param counter the name of the counter of failures
     */
    public Timers(ScheduledExecutorService scheduler, MeterRegistry registry, String counter) {
        this.scheduler = scheduler;
        this.registry = registry;
        this.counter = counter;
    }

    /**
     * Runs work again and again, the first time at once.
     *
     * @param name the name of the work in the counter
     * @param pauseMillis the pause between two runs, in milliseconds
     * @param work the work
     */
    public void scheduleRepeating(String name, long pauseMillis, Runnable work) {
        Guarded.scheduleRepeating(name, scheduler, pauseMillis, () -> run(name, work));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private void run(String name, Runnable work) {
        try {
            work.run();
            succeeded(name);
        } catch (StandlinkException failure) {
            failed(name, failure.getCode().name(), failure);
        } catch (CompletionException lost) {
            failed(name, codeOf(lost), lost.getCause());
        } catch (RuntimeException defect) {
            count(name, DEFECT);
            LOGGER.log(System.Logger.Level.ERROR, "defect in " + name, defect);
        }
    }

    /** Says so once when work that failed goes well again. */
    private void succeeded(String name) {
        if (failing.remove(name)) {
            LOGGER.log(System.Logger.Level.INFO, name + " goes well again");
        }
    }

    /** Counts a failure of something that this process depends on, and says so the first time. */
    private void failed(String name, String code, Throwable cause) {
        count(name, code);
        if (failing.add(name)) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    name + " fails and is repeated: " + code + ", " + cause);
        }
    }

    private static String codeOf(CompletionException lost) {
        Throwable cause = lost.getCause();
        if (cause instanceof StandlinkException known) {
            return known.getCode().name();
        }
        return cause instanceof TimeoutException ? ErrorCode.TIMEOUT.name() : DEFECT;
    }

    private void count(String name, String code) {
        registry.counter(counter, "work", name, "code", code).increment();
    }
}
