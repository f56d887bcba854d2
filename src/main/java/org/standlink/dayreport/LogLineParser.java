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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Pattern;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Parses the lines of a log, with or without a prefix of a time and a machine's name.
 *
 * <p>A prefix that begins with a number, in seconds, gives the time of the line, because the
 * collector of the log has one clock for all machines. Otherwise the time of day in the line is
 * used, relative to that of the first line.
 *
 * <p>{@code LogLineParser} is not thread-safe.
 */
final class LogLineParser {

    /** The beginning of a JSON object with a first field, as {@code EventLog} writes it. */
    private static final String OBJECT_START = "{\"";

    /** The line that a process writes, without a time, when its output was too slow. */
    private static final String LINES_DROPPED = "log-lines-dropped";

    private static final Pattern SECONDS = Pattern.compile("-?\\d{1,12}(\\.\\d{1,9})?");

    private static final Pattern BLANKS = Pattern.compile("\\s+");

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Rejects two lines without a line end between them, of which it would read only the first. */
    private static final ObjectReader READER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build()
                    .reader();

    /** The time of day that corresponds to time 0; null before the first line. */
    private Long originWallMillis;

    private long droppedLines;

    /**
     * Parses a line.
     *
     * @param text the line
     * @return the line, empty if it is not a log line of standlink
     * @throws StandlinkException with code INVALID_MESSAGE if it contains an incomplete JSON object
     *     or an invalid time
     */
    Optional<LogLine> parse(String text) {
        int start = text.indexOf(OBJECT_START);
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode fields = parseObject(text.substring(start));
        if (fields.path("event").asText().equals(LINES_DROPPED)) {
            droppedLines += fields.path("count").asLong();
            return Optional.empty();
        }
        boolean known =
                fields.path("time").isTextual()
                        && fields.path("source").isTextual()
                        && fields.path("event").isTextual();
        return known ? Optional.of(toLine(text.substring(0, start), fields)) : Optional.empty();
    }

    /** Gets the number of lines that processes report as dropped, so that the log lacks them. */
    long getDroppedLines() {
        return droppedLines;
    }

    private static JsonNode parseObject(String text) {
        try {
            return READER.readTree(text);
        } catch (JsonProcessingException malformed) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "not one complete JSON object: " + malformed.getOriginalMessage(),
                    "check whether the line was truncated",
                    malformed);
        }
    }

    private LogLine toLine(String prefix, JsonNode fields) {
        String[] words = BLANKS.split(prefix.trim());
        boolean timed = SECONDS.matcher(words[0]).matches();
        long wallMillis = parseTime(fields.path("time").asText());
        if (originWallMillis == null) {
            originWallMillis = wallMillis - (timed ? toMillis(words[0]) : 0);
        }
        long timeMillis = timed ? toMillis(words[0]) : wallMillis - originWallMillis;
        String place = timed && words.length == 1 ? "" : words[words.length - 1];
        return new LogLine(timeMillis, place, fields);
    }

    private static long toMillis(String seconds) {
        return Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND);
    }

    private static long parseTime(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeException | ArithmeticException malformed) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "'" + text + "' is not a time",
                    "check whether the line was changed",
                    malformed);
        }
    }
}
