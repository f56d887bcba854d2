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

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a thread of its own, so that a blocked standard output holds up nobody.
 *
 * <p>At most {@value #MAX_QUEUED_LINES} lines wait; what comes beyond is dropped and counted, and
 * the count is written when there is room again.
 *
 * <p>{@code LogWriter} is thread-safe.
 */
public final class LogWriter {

    /** The most lines that wait; about 1 MB, some seconds of the busiest process. */
    static final int MAX_QUEUED_LINES = 4096;

    /**
     * The most lines written at once: without a limit, a thread that is handed lines as fast as it
     * takes them gathers them for ever, and more of them wait than may.
     */
    private static final int MOST_AT_ONCE = 512;

    /** The one that the process uses. */
    private static final LogWriter INSTANCE = new LogWriter(System.out);

    /** The lines that wait. */
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

    /** How many lines were dropped since the last count was written. */
    private final AtomicLong dropped = new AtomicLong();

    /** Where lines go. */
    private final PrintStream output;

    /**
     * Constructor, which starts the thread.
     *
     * @param output where lines go
     */
    LogWriter(PrintStream output) {
        this.output = output;
        Thread thread = new Thread(this::writeUntilStopped, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Gets the writer to standard output.
     *
     * @return the writer
     */
    public static LogWriter getInstance() {
        return INSTANCE;
    }

    /**
     * Hands over a line; returns at once.
     *
     * @param line the line
     * @return false if it was dropped
     */
    public boolean offer(String line) {
        boolean taken = lines.offer(line);
        if (!taken) {
            dropped.incrementAndGet();
        }
        return taken;
    }

    // -----------------------------------------------------------------------
    /** What a batch throws, such as for want of memory, costs that batch only. */
    private void writeUntilStopped() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                writeAll();
            } catch (RuntimeException | Error thrown) {
                dropped.incrementAndGet();
                WorkFailures.record("log-writer", thrown);
            }
        }
    }

    private void writeAll() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.setLength(0);
                batch.append(lines.take()).append('\n');
                String more = lines.poll();
                for (int count = 1; more != null; count++) {
                    batch.append(more).append('\n');
                    more = count < MOST_AT_ONCE ? lines.poll() : null;
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.append("{\"event\":\"log-lines-dropped\",\"count\":");
                    batch.append(lost).append("}\n");
                }
                output.print(batch);
                output.flush();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
