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
 * Writes log lines on a thread of its own, so that a blocked standard output does not block the
 * threads that log.
 *
 * <p>At most {@value #MAX_QUEUED_LINES} lines are queued; further ones are dropped and counted, and
 * the count is written as soon as the output accepts lines again.
 *
 * <p>{@code LogWriter} is thread-safe.
 */
public final class LogWriter {

    /** The maximum number of queued lines: about 1 MB, a few seconds of the busiest process. */
    static final int MAX_QUEUED_LINES = 4096;

    /**
     * The maximum number of lines written at once. Without a limit, a batch would grow indefinitely
     * if lines are added as fast as they are taken, and more lines would be held than the queue
     * allows.
     */
    private static final int MAX_BATCH_LINES = 512;

    /** The writer to standard output. */
    private static final LogWriter INSTANCE = new LogWriter(System.out);

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

    /** The number of lines dropped since the last count was written. */
    private final AtomicLong dropped = new AtomicLong();

    private final PrintStream output;

    /**
     * Creates a writer and starts its thread.
     *
     * @param output the output of the lines
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
     * Adds a line to the queue without blocking.
     *
     * @param line the line
     * @return false if it was dropped
     */
    public boolean offer(String line) {
        boolean accepted = lines.offer(line);
        if (!accepted) {
            dropped.incrementAndGet();
        }
        return accepted;
    }

    // -----------------------------------------------------------------------
    /** An exception or error, such as a lack of memory, loses only the current batch. */
    private void writeUntilStopped() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                writeBatches();
            } catch (RuntimeException | Error thrown) {
                dropped.incrementAndGet();
                WorkFailures.record("log-writer", thrown);
            }
        }
    }

    private void writeBatches() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.setLength(0);
                batch.append(lines.take()).append('\n');
                String next = lines.poll();
                for (int count = 1; next != null; count++) {
                    batch.append(next).append('\n');
                    next = count < MAX_BATCH_LINES ? lines.poll() : null;
                }
                long droppedCount = dropped.getAndSet(0);
                if (droppedCount > 0) {
                    batch.append("{\"event\":\"log-lines-dropped\",\"count\":");
                    batch.append(droppedCount).append("}\n");
                }
                output.print(batch);
                output.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
