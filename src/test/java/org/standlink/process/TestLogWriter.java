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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests that a blocked standard output does not block the threads that log. */
public class TestLogWriter {

    private static final String LAST_LINE = "last line";

    /** An output that blocks until it is unblocked. */
    private static final class BlockedOutput extends OutputStream {

        private final CountDownLatch unblocked = new CountDownLatch(1);
        private final CountDownLatch lastLineWritten = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
            if (written.toString(StandardCharsets.UTF_8).contains(LAST_LINE)) {
                lastLineWritten.countDown();
            }
        }
    }

    @Test
    public void aBlockedOutputDropsLinesAndWritesTheirNumber() throws InterruptedException {
        BlockedOutput output = new BlockedOutput();
        LogWriter writer = new LogWriter(new PrintStream(output, true, StandardCharsets.UTF_8));
        int dropped = 0;
        for (int i = 0; i < 3 * LogWriter.MAX_QUEUED_LINES; i++) {
            dropped += writer.offer("line " + i) ? 0 : 1;
        }
        assertTrue(dropped >= LogWriter.MAX_QUEUED_LINES);
        output.unblocked.countDown();
        while (!writer.offer(LAST_LINE)) {
            dropped++;
            Thread.onSpinWait();
        }
        output.lastLineWritten.await();
        String text = output.written.toString(StandardCharsets.UTF_8);
        long reported =
                Pattern.compile("\"count\":(\\d+)")
                        .matcher(text)
                        .results()
                        .mapToLong(found -> Long.parseLong(found.group(1)))
                        .sum();
        assertEquals(dropped, reported);
    }

    @Test
    public void aLineIsOneObjectWithAllItsFields() {
        String line =
                EventLog.of(TestLogWriter.class)
                        .info("tested")
                        .with("job", "a\"b")
                        .with("count", 3)
                        .with("again", true)
                        .toString();
        assertTrue(line.endsWith("\"again\":true,\"count\":3,\"job\":\"a\\\"b\"}"), line);
        assertFalse(line.contains("\n"));
        assertEquals(1, line.chars().filter(character -> character == '{').count());
    }
}
