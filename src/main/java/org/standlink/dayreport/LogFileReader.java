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

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Reads the log lines of a file one by one.
 *
 * <p>Lines of other programs are counted. Lines that are truncated or contain an invalid value are
 * counted and reported with their number, and do not end the reading.
 *
 * <p>{@code LogFileReader} is not thread-safe.
 */
final class LogFileReader {

    /** The number of invalid lines that are reported, so that a wrong file gives a short output. */
    static final int MAX_REPORTED = 100;

    /**
     * How much earlier than a line before it a line may be, in milliseconds. In merged logs of two
     * deployments it was 2 ms at most.
     */
    private static final long MAX_DISORDER_MILLIS = 1000;

    private final Path file;

    private final Consumer<String> warnings;

    private final LogLineParser parser = new LogLineParser();

    private long lines;

    private long logLines;

    private long invalidLines;

    private long unorderedLines;

    private long firstMillis;

    private long lastMillis;

    /**
     * Creates a reader.
     *
     * @param file the file
     * @param warnings receives a text about each of the first invalid lines
     */
    LogFileReader(Path file, Consumer<String> warnings) {
        this.file = file;
        this.warnings = warnings;
    }

    /**
     * Reads the file.
     *
     * @param handler receives each log line
     * @throws StandlinkException with code FILE if the file cannot be read or contains no log line
     */
    void read(Consumer<LogLine> handler) {
        // Invalid bytes are replaced, as they may be part of another program's lines.
        try (Reader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Files.newInputStream(file), StandardCharsets.UTF_8))) {
            BoundedLineReader source = new BoundedLineReader(reader);
            for (String text = source.readLine(); text != null; text = source.readLine()) {
                lines++;
                handle(text, handler);
            }
        } catch (IOException failure) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "cannot read '" + file + "'",
                    "check that the file is there and may be read",
                    failure);
        }
        if (logLines == 0) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "'" + file + "' contains no log line of standlink, in " + lines + " lines",
                    "pass the merged log of the entries and agents");
        }
    }

    private void handle(String text, Consumer<LogLine> handler) {
        try {
            Optional<LogLine> line = parser.parse(text);
            if (line.isPresent()) {
                countTime(line.get().timeMillis());
                handler.accept(line.get());
            }
        } catch (StandlinkException invalid) {
            invalidLines++;
            if (invalidLines <= MAX_REPORTED) {
                warnings.accept(file + ": line " + lines + ": " + invalid.getMessage());
            }
        }
    }

    private void countTime(long timeMillis) {
        firstMillis = logLines == 0 ? timeMillis : Math.min(firstMillis, timeMillis);
        lastMillis = logLines == 0 ? timeMillis : Math.max(lastMillis, timeMillis);
        logLines++;
        unorderedLines += timeMillis < lastMillis - MAX_DISORDER_MILLIS ? 1 : 0;
    }

    // -----------------------------------------------------------------------
    Path getFile() {
        return file;
    }

    /** Gets the number of lines of the file. */
    long getLines() {
        return lines;
    }

    /** Gets the number of log lines of standlink. */
    long getLogLines() {
        return logLines;
    }

    /** Gets the number of lines that are truncated or contain an invalid value. */
    long getInvalidLines() {
        return invalidLines;
    }

    /** Gets the number of lines that processes report as dropped, so that the log lacks them. */
    long getDroppedLines() {
        return parser.getDroppedLines();
    }

    /** Gets the number of log lines that are too much earlier than a line before them. */
    long getUnorderedLines() {
        return unorderedLines;
    }

    /** Gets the earliest time of a log line, in milliseconds. */
    long getFirstMillis() {
        return firstMillis;
    }

    /** Gets the latest time of a log line, in milliseconds. */
    long getLastMillis() {
        return lastMillis;
    }
}
