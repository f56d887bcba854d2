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

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes structured log lines: one JSON object a line, for each decision and each change of what
 * the process believes.
 *
 * <p>Lines are handed to {@link LogWriter}, which never blocks and counts what it drops.
 *
 * <p>{@code EventLog} is thread-safe and immutable.
 */
public final class EventLog {

    /** Makes JSON. */
    private static final JsonFactory JSON = new JsonFactory();

    /** The short name of the class that logs. */
    private final String source;

    /**
     * Constructor.
     *
     * @param source the short name of the class that logs
     */
    private EventLog(String source) {
        this.source = source;
    }

    /**
     * Makes a log for a class.
     *
     * @param source the class
     * @return the log
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(source.getSimpleName());
    }

    /**
     * Begins a line about something expected.
     *
     * @param event what happened, in words joined by hyphens
     * @return the line, to be filled and written
     */
    public Line info(String event) {
        return new Line("INFO", source, event);
    }

    /**
     * Begins a line about something that needs attention if it lasts.
     *
     * @param event what happened, in words joined by hyphens
     * @return the line, to be filled and written
     */
    public Line warning(String event) {
        return new Line("WARNING", source, event);
    }

    /**
     * Begins a line about a defect.
     *
     * @param event what happened, in words joined by hyphens
     * @return the line, to be filled and written
     */
    public Line error(String event) {
        return new Line("ERROR", source, event);
    }

    // -----------------------------------------------------------------------
    /**
     * One line that is being filled.
     *
     * <p>{@code Line} is mutable and not thread-safe.
     */
    public static final class Line {

        /** The level. */
        private final String level;

        /** The short name of the class that logs. */
        private final String source;

        /** What happened. */
        private final String event;

        /** The inputs and the outcome. */
        private final Map<String, Object> fields = new TreeMap<>();

        /**
         * Constructor.
         *
         * @param level the level
         * @param source the short name of the class that logs
         * @param event what happened
         */
        private Line(String level, String source, String event) {
            this.level = level;
            this.source = source;
            this.event = event;
        }

        /**
         * Adds a field.
         *
         * @param name the name
         * @param value the value; its text form is written
         * @return this line
         */
        public Line with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        /** Hands the line to the writer. */
        public void write() {
            LogWriter.getInstance().offer(toString());
        }

        @Override
        public String toString() {
            StringWriter text = new StringWriter();
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("time", Instant.now().toString());
                json.writeStringField("level", level);
                json.writeStringField("source", source);
                json.writeStringField("event", event);
                for (Map.Entry<String, Object> field : fields.entrySet()) {
                    writeField(json, field.getKey(), field.getValue());
                }
                json.writeEndObject();
            } catch (IOException impossible) {
                return event;
            }
            return text.toString();
        }

        private static void writeField(JsonGenerator json, String name, Object value)
                throws IOException {
            if (value instanceof Integer || value instanceof Long) {
                json.writeNumberField(name, ((Number) value).longValue());
            } else if (value instanceof Boolean flag) {
                json.writeBooleanField(name, flag);
            } else {
                json.writeStringField(name, String.valueOf(value));
            }
        }
    }
}
