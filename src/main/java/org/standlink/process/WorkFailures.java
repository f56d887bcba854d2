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
 * Records the unexpected exceptions and errors of the work of a process: each is logged with its
 * cause and counted. After an error the process is shut down in order, since it is no longer
 * reliable.
 *
 * <p>All work whose result is not awaited must be run by {@link Guarded} or on threads of {@link
 * ProcessThreads}; both report to this class.
 *
 * <p>{@code WorkFailures} is thread-safe.
 */
public final class WorkFailures {

    private static final EventLog LOG = EventLog.of(WorkFailures.class);

    /** The maximum number of logged stack frames; enough to reach the code of standlink. */
    private static final int MAX_FRAMES = 12;

    /** The maximum length of a logged message, in characters. */
    private static final int MAX_MESSAGE_CHARACTERS = 200;

    /** The maximum number of logged nested causes. */
    private static final int MAX_CAUSES = 3;

    private static final AtomicLong COUNT = new AtomicLong();

    /** Ends the process; does nothing by default, for programs that run several processes. */
    private static final AtomicReference<Consumer<Throwable>> TERMINATION_HANDLER =
            new AtomicReference<>(thrown -> {});

    private WorkFailures() {}

    /**
     * Records a failure.
     *
     * @param work the name of the work, in words joined by hyphens
     * @param thrown the exception or error
     */
    public static void record(String work, Throwable thrown) {
        Throwable cause = unwrap(thrown);
        COUNT.incrementAndGet();
        try {
            LOG.error("work-failed").with("work", work).with("cause", describe(cause)).write();
        } finally {
            if (isFatal(cause)) {
                TERMINATION_HANDLER.get().accept(cause);
            }
        }
    }

    /**
     * Gets the number of failures since the start of the process.
     *
     * @return the number
     */
    public static long getCount() {
        return COUNT.get();
    }

    /**
     * Registers the counter of failures.
     *
     * @param registry the metrics of the process
     */
    public static void registerCounter(MeterRegistry registry) {
        FunctionCounter.builder("standlink.work.failures", COUNT, AtomicLong::get)
                .description("work that threw though nothing expected it")
                .register(registry);
    }

    /**
     * Sets the handler that ends the process after an error.
     *
     * @param handler receives the error; must return at once
     */
    public static void setTerminationHandler(Consumer<Throwable> handler) {
        TERMINATION_HANDLER.set(handler);
    }

    /**
     * Checks whether the process is no longer reliable after a failure. A stack overflow has no
     * effect beyond the work that caused it. It may also be caused by a caller's request: if it
     * ended the process, that request could end one process after another.
     *
     * @param thrown the exception or error
     * @return true for all errors except stack overflows
     */
    static boolean isFatal(Throwable thrown) {
        return thrown instanceof Error && !(thrown instanceof StackOverflowError);
    }

    /**
     * Unwraps a failure of a future.
     *
     * @param failure the failure, possibly a {@link CompletionException}
     * @return its cause if it is wrapped, otherwise the failure itself
     */
    public static Throwable unwrap(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }

    // -----------------------------------------------------------------------
    private static String describe(Throwable thrown) {
        StringBuilder text = new StringBuilder(summarise(thrown));
        StackTraceElement[] frames = thrown.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
            text.append(" at ").append(frames[i]);
        }
        Throwable cause = thrown.getCause();
        for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
            text.append(" caused by ").append(summarise(cause));
            cause = cause.getCause();
        }
        return text.toString();
    }

    private static String summarise(Throwable thrown) {
        String text = thrown.toString();
        return text.length() > MAX_MESSAGE_CHARACTERS
                ? text.substring(0, MAX_MESSAGE_CHARACTERS)
                : text;
    }
}
