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
package org.standlink.command;

import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.standlink.process.ProcessEnd;

/** Base class of the commands that run a server: sets up the log and shuts down gracefully. */
abstract class AbstractServerCommand implements Command {

    /**
     * The maximum duration of a shutdown after an error, in milliseconds: more than an entry gives
     * its callers to connect elsewhere.
     */
    private static final long MAX_SHUTDOWN_MILLIS = 10_000;

    @Option(name = "--log", usage = "format of log lines: TEXT or JSON")
    private LogSetup.Format logFormat = LogSetup.Format.TEXT;

    /** Shuts a server down gracefully. */
    @FunctionalInterface
    interface ShutdownAction {

        /**
         * Shuts the server down.
         *
         * @throws Exception if it fails
         */
        void run() throws Exception;
    }

    /**
     * Sets up the log.
     *
     * @param process the name of the process in log lines
     */
    protected final void setUpLog(String process) {
        LogSetup.apply(logFormat, process);
    }

    /**
     * Serves until the process is asked to stop, then shuts down gracefully.
     *
     * @param shutdown shuts the server down
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    protected final int serveUntilStopped(ShutdownAction shutdown) throws InterruptedException {
        CountDownLatch neverReleased = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> runAndPrintFailure(shutdown), "stop"));
        ProcessEnd.install(MAX_SHUTDOWN_MILLIS);
        ProgramClasses.keepJarOpen();
        neverReleased.await();
        return 0;
    }

    private static void runAndPrintFailure(ShutdownAction shutdown) {
        try {
            shutdown.run();
        } catch (Exception | Error failure) {
            System.err.println("standlink: shutdown failed: " + failure);
        }
    }
}
