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

/** The part that every long-running command shares: the log and an ordered stop. */
abstract class AbstractServerCommand implements Command {

    /**
     * How long a stop after an error may take, in milliseconds: what an entry gives its callers to
     * go elsewhere is less.
     */
    private static final long LONGEST_STOP_MILLIS = 10_000;

    /** The form of log lines. */
    @Option(name = "--log", usage = "form of log lines: TEXT or JSON")
    private LogSetup.Format form = LogSetup.Format.TEXT;

    /** Stops in order. */
    @FunctionalInterface
    interface ShutdownAction {

        /**
         * Stops.
         *
         * @throws Exception if it cannot
         */
        void run() throws Exception;
    }

    /**
     * Sets up the log.
     *
     * @param process names the process
     */
    protected final void setUpLog(String process) {
        LogSetup.apply(form, process);
    }

    /**
     * Waits until the process is asked to stop, and stops in order.
     *
     * @param stop stops in order
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    protected final int serveUntilStopped(ShutdownAction stop) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> runQuietly(stop), "stop"));
        ProcessEnd.install(LONGEST_STOP_MILLIS);
        ProgramClasses.keepJarOpen();
        never.await();
        return 0;
    }

    private static void runQuietly(ShutdownAction stop) {
        try {
            stop.run();
        } catch (Exception | Error failure) {
            System.err.println("standlink: the stop was not in order: " + failure);
        }
    }
}
