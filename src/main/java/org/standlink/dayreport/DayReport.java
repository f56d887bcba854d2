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

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Objects;
import java.util.function.Consumer;
import org.standlink.StandlinkException;

/**
 * A report on a run of a deployment, made from its log.
 *
 * <p>Use {@link #read} on the merged log of all entries and agents, then {@link #print}.
 *
 * <p>{@code DayReport} is not thread-safe.
 */
public final class DayReport {

    private final LogFileReader reader;

    private final DayLog log;

    private DayReport(LogFileReader reader, DayLog log) {
        this.reader = reader;
        this.log = log;
    }

    /**
     * Reads a log.
     *
     * @param file the log, with or without prefixes of a time in seconds and a machine's name
     * @param warnings receives a text with the line's number about each of the first invalid lines,
     *     which are ignored
     * @return the report
     * @throws StandlinkException with code FILE if the file cannot be read or contains no log line
     *     of standlink
     */
    public static DayReport read(Path file, Consumer<String> warnings) {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(warnings, "warnings");
        LogFileReader reader = new LogFileReader(file, warnings);
        DayLog log = new DayLog();
        reader.read(log::apply);
        log.finish(reader.getLastMillis());
        return new DayReport(reader, log);
    }

    /**
     * Prints the report as text in aligned columns.
     *
     * @param output where to print
     */
    public void print(PrintStream output) {
        new DayReportPrinter(output).print(reader, log);
    }

    DayLog getLog() {
        return log;
    }
}
