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
package org.standlink.dayreport;

import java.io.IOException;
import java.io.Reader;

/**
 * Reads lines of limited length, so that a file without line ends does not exhaust the memory.
 *
 * <p>{@code BoundedLineReader} is not thread-safe.
 */
final class BoundedLineReader {

    /**
     * The number of characters of a line that are kept. The longest lines list the runs of a
     * worker, which take 30 characters each.
     */
    static final int MAX_LINE_LENGTH = 1 << 18;

    private final Reader reader;

    /**
     * Creates a reader.
     *
     * @param reader the source; should be buffered
     */
    BoundedLineReader(Reader reader) {
        this.reader = reader;
    }

    /**
     * Reads a line. Characters beyond the maximum length are dropped.
     *
     * @return the line without its end, null at the end of the source
     * @throws IOException if the source cannot be read
     */
    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next = reader.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (line.length() < MAX_LINE_LENGTH) {
                line.append((char) next);
            }
            next = reader.read();
        }
        return line.toString();
    }
}
