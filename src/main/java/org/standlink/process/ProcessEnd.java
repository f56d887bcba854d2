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
 * Ends the process in order after an error, as if it had been asked to stop, with an exit code of
 * its own.
 *
 * <p>Its threads are made beforehand, since an error may leave no room for new ones.
 *
 * <p>{@code ProcessEnd} is thread-safe.
 */
public final class ProcessEnd {

    /** The exit code of a process that ended itself after an error. */
    public static final int EXIT_CODE = 7;

    /** How long the log may take to write its last lines, in milliseconds. */
    private static final long LAST_LINES_MILLIS = 50;

    /** The log. */
    private static final EventLog LOG = EventLog.of(ProcessEnd.class);

    /** Whether the process ends after an error. */
    private static final CountDownLatch BEGUN = new CountDownLatch(1);

    /** No instances. */
    private ProcessEnd() {}

    /**
     * Lets errors end the process from now on.
     *
     * @param mostMillis how long an orderly stop may take before the process is cut off, in
     *     milliseconds
     */
    public static void install(long mostMillis) {
        start("end", ProcessEnd::end);
        start("cut-off", () -> cutOff(mostMillis));
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, thrown) -> WorkFailures.record(thread.getName(), thrown));
        WorkFailures.setTerminationHandler(thrown -> BEGUN.countDown());
    }

    /**
     * Gets the code to exit with.
     *
     * @return 0 unless the process ends after an error
     */
    public static int getExitCode() {
        return BEGUN.getCount() == 0 ? EXIT_CODE : 0;
    }

    // -----------------------------------------------------------------------
    private static void start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void end() {
        awaitBegin();
        try {
            LOG.error("process-ends").with("exit-code", EXIT_CODE).write();
        } finally {
            System.exit(EXIT_CODE);
        }
    }

    private static void cutOff(long mostMillis) {
        awaitBegin();
        pause(mostMillis);
        Runtime.getRuntime().halt(EXIT_CODE);
    }

    private static void awaitBegin() {
        boolean begun = false;
        while (!begun) {
            try {
                BEGUN.await();
                pause(LAST_LINES_MILLIS);
                begun = true;
            } catch (InterruptedException nobodyDoes) {
                begun = false;
            }
        }
    }

    private static void pause(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            try {
                TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
            } catch (InterruptedException nobodyDoes) {
                // The end must not be held up, nor come early.
                continue;
            }
        }
    }
}
