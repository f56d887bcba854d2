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

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.regex.Pattern;
import org.standlink.ErrorCode;
import org.standlink.JobId;
import org.standlink.StandlinkException;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;

/**
 * A log line of standlink.
 *
 * <p>{@code LogLine} is thread-safe as long as its fields are not modified.
 *
 * @param timeMillis when it was written, in milliseconds since the origin of the log's times
 * @param place the machine that wrote it, empty if not known
 * @param fields the JSON object
 */
record LogLine(long timeMillis, String place, JsonNode fields) {

    private static final char RUN_NUMBER_SEPARATOR = '#';

    /**
     * The length of a field's text that is kept, in characters. The longest texts are the causes of
     * failures; the report shows {@link #MAX_REASON_LENGTH} of them.
     */
    private static final int MAX_TEXT_LENGTH = 300;

    private static final int MAX_REASON_LENGTH = 70;

    /** How the text of an exception begins. */
    private static final String EXCEPTION_PREFIX = StandlinkException.class.getName() + ": ";

    /** Parts of reasons that differ in each line: addresses, identifiers and long numbers. */
    private static final Pattern VARIABLE_PART =
            Pattern.compile("\\d+(?:[.:]\\d+){2,}|\\b[0-9a-f]{16}\\b|\\b\\d{4,}\\b");

    /** The characters around the runs of a list such as {@code [a.0.0.0#1, a.0.0.1#1]}. */
    private static final Pattern LIST_SYNTAX = Pattern.compile("[\\[\\], ]+");

    /** Returns the name of the event. */
    String event() {
        return text("event");
    }

    /** Returns the beginning of a field as text, empty if it is absent. */
    String text(String name) {
        return shorten(fields.path(name).asText(), MAX_TEXT_LENGTH);
    }

    /**
     * Returns a field that names a reason, shortened and with {@code *} for the parts that differ
     * in each line, so that equal reasons can be counted.
     */
    String reason(String name) {
        String text = text(name).strip();
        String message =
                text.startsWith(EXCEPTION_PREFIX)
                        ? text.substring(EXCEPTION_PREFIX.length())
                        : text;
        return shorten(VARIABLE_PART.matcher(message).replaceAll("*"), MAX_REASON_LENGTH);
    }

    /** Returns a field as a number, 0 if it is absent. */
    long number(String name) {
        return fields.path(name).asLong();
    }

    /** Returns a field that is true or false; false if it is absent. */
    boolean flag(String name) {
        return fields.path(name).asBoolean();
    }

    /**
     * Returns the job that the line is about.
     *
     * @throws StandlinkException with code INVALID_IDENTIFIER if it names none
     */
    JobId job() {
        return JobId.parse(text("job"));
    }

    /**
     * Returns the run that the line is about.
     *
     * @throws StandlinkException with code INVALID_IDENTIFIER if it names none
     */
    RunId run() {
        return parseRun(text("run"));
    }

    /**
     * Returns the runs in the field {@code runs}.
     *
     * @throws StandlinkException with code INVALID_IDENTIFIER if the list contains another text
     */
    List<RunId> runs() {
        return LIST_SYNTAX
                .splitAsStream(fields.path("runs").asText())
                .filter(text -> !text.isEmpty())
                .map(LogLine::parseRun)
                .toList();
    }

    /**
     * Returns a field that holds the name of a constant.
     *
     * @param <E> the type of the constant
     * @param name the name of the field
     * @param type the type of the constant
     * @throws StandlinkException with code INVALID_MESSAGE if there is no such constant
     */
    <E extends Enum<E>> E constant(String name, Class<E> type) {
        try {
            return Enum.valueOf(type, text(name));
        } catch (IllegalArgumentException unknown) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "'" + text(name) + "' is not a value of the field '" + name + "'",
                    "use the standlink version that wrote the log",
                    unknown);
        }
    }

    /**
     * Parses the text form of a run.
     *
     * @param text the text, such as {@code 5c0e7a21d94b36f8.0.1.17#2}
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text does not name a run
     */
    static RunId parseRun(String text) {
        int separator = text.indexOf(RUN_NUMBER_SEPARATOR);
        try {
            if (separator > 0) {
                int number = Integer.parseInt(text.substring(separator + 1));
                TaskName task = TaskName.parse(text.substring(0, separator));
                if (number > 0) {
                    return new RunId(task, number);
                }
            }
        } catch (NumberFormatException malformed) {
            // Reported below, as is a missing number or one below 1.
        }
        throw new StandlinkException(
                ErrorCode.INVALID_IDENTIFIER,
                "'" + text + "' does not name a run",
                "check whether the line was changed");
    }

    private static String shorten(String text, int length) {
        return text.length() > length ? text.substring(0, length) + "..." : text;
    }
}
