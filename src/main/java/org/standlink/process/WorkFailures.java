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

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Takes note of what work of the process throws though nothing expected it: one line with the cause
 * for each, and a count. After an error the process is ended in order, since what it still does
 * cannot be relied on.
 *
 * <p>All work that nobody waits for is to be handed over by {@link Guarded} or to run on threads of
 * {@link ProcessThreads}; both tell this class.
 *
 * <p>{@code WorkFailures} is thread-safe.
 */
public final class WorkFailures {

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkFailures.class);

    /** The most calls of a stack that a line tells: enough to reach this program's own code. */
    private static final int MOST_FRAMES = 12;

    /** The longest message of a cause in a line, in characters. */
    private static final int MOST_MESSAGE = 200;

    /** The most causes of causes that a line tells. */
    private static final int MOST_CAUSES = 3;

    /** How many failures there were. */
    private static final AtomicLong COUNT = new AtomicLong();

    /** What ends the process; nothing by default, for programs that hold several. */
    private static final AtomicReference<Consumer<Throwable>> ENDING =
            new AtomicReference<>(thrown -> {});

    /** No instances. */
    private WorkFailures() {}

    /**
     * Takes note of a failure.
     *
     * @param work what failed, in words joined by hyphens
     * @param thrown what was thrown
     */
    public static void record(String work, Throwable thrown) {
        Throwable cause = unwrap(thrown);
        COUNT.incrementAndGet();
        try {
            LOG.error("work-failed").with("work", work).with("cause", describe(cause)).write();
        } finally {
            if (isFatal(cause)) {
                ENDING.get().accept(cause);
            }
        }
    }

    /**
     * Gets how many failures were noted since the start of the process.
     *
     * @return the number
     */
    public static long getCount() {
        return COUNT.get();
    }

    /**
     * Shows the number of failures among the counters of a process.
     *
     * @param registry the counters
     */
    public static void registerCounter(MeterRegistry registry) {
        FunctionCounter.builder("standlink.work.failures", COUNT, AtomicLong::get)
                .description("work that threw though nothing expected it")
                .register(registry);
    }

    /**
     * Sets what ends the process after an error.
     *
     * @param ending is told the error; must return at once
     */
    public static void setTerminationHandler(Consumer<Throwable> ending) {
        ENDING.set(ending);
    }

    /**
     * Checks whether the process cannot be relied on after a failure. An overflow of the stack is
     * over once the work has ended, and a caller's request may have caused it: if it ended the
     * process, that request could end one process after the other.
     *
     * @param thrown what was thrown
     * @return true for errors but those
     */
    static boolean isFatal(Throwable thrown) {
        return thrown instanceof Error && !(thrown instanceof StackOverflowError);
    }

    /**
     * Strips what a future wraps a failure in.
     *
     * @param failure the failure
     * @return what was thrown
     */
    public static Throwable unwrap(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }

    // -----------------------------------------------------------------------
    private static String describe(Throwable thrown) {
        StringBuilder text = new StringBuilder(head(thrown));
        StackTraceElement[] frames = thrown.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MOST_FRAMES); i++) {
            text.append(" at ").append(frames[i]);
        }
        Throwable cause = thrown.getCause();
        for (int i = 0; i < MOST_CAUSES && cause != null; i++) {
            text.append(" caused by ").append(head(cause));
            cause = cause.getCause();
        }
        return text.toString();
    }

    private static String head(Throwable thrown) {
        String text = thrown.toString();
        return text.length() > MOST_MESSAGE ? text.substring(0, MOST_MESSAGE) : text;
    }
}
