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

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Shuts the process down in order after an error, as if it had been asked to stop, with an exit
 * code of its own.
 *
 * <p>Its threads are created in advance, since it may be impossible to create new ones after an
 * error.
 *
 * <p>{@code ProcessEnd} is thread-safe.
 */
public final class ProcessEnd {

    /** The exit code of a process that ended itself after an error. */
    public static final int EXIT_CODE = 7;

    /** The time that the log has to write its last lines, in milliseconds. */
    private static final long LOG_FLUSH_MILLIS = 50;

    private static final EventLog LOG = EventLog.of(ProcessEnd.class);

    /** Reaches 0 when the process ends after an error. */
    private static final CountDownLatch TERMINATING = new CountDownLatch(1);

    private ProcessEnd() {}

    /**
     * Makes errors end the process from now on.
     *
     * @param timeoutMillis the time that an orderly shutdown may take before the process is halted,
     *     in milliseconds
     */
    public static void install(long timeoutMillis) {
        start("end", ProcessEnd::terminate);
        start("cut-off", () -> haltAfterTimeout(timeoutMillis));
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, thrown) -> WorkFailures.record(thread.getName(), thrown));
        WorkFailures.setTerminationHandler(thrown -> TERMINATING.countDown());
    }

    /**
     * Gets the code to exit with.
     *
     * @return 0 unless the process ends after an error
     */
    public static int getExitCode() {
        return TERMINATING.getCount() == 0 ? EXIT_CODE : 0;
    }

    // -----------------------------------------------------------------------
    private static void start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void terminate() {
        awaitTermination();
        try {
            LOG.error("process-ends").with("exit-code", EXIT_CODE).write();
        } finally {
            System.exit(EXIT_CODE);
        }
    }

    private static void haltAfterTimeout(long timeoutMillis) {
        awaitTermination();
        pause(timeoutMillis);
        Runtime.getRuntime().halt(EXIT_CODE);
    }

    private static void awaitTermination() {
        boolean terminating = false;
        while (!terminating) {
            try {
                TERMINATING.await();
                pause(LOG_FLUSH_MILLIS);
                terminating = true;
            } catch (InterruptedException ignored) {
                terminating = false;
            }
        }
    }

    private static void pause(long millis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < deadline) {
            try {
                TimeUnit.NANOSECONDS.sleep(Math.max(0, deadline - System.nanoTime()));
            } catch (InterruptedException ignored) {
                // An interrupt must neither prevent the termination nor cause it early.
                continue;
            }
        }
    }
}
