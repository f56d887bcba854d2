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
 * Writes structured log lines, one JSON object per line, for decisions and for changes in the view
 * that the process has of the system.
 *
 * <p>Lines are passed to {@link LogWriter}, which never blocks and counts the lines it drops.
 *
 * <p>{@code EventLog} is thread-safe and immutable.
 */
public final class EventLog {

    private static final JsonFactory JSON = new JsonFactory();

    /** The short name of the class that logs. */
    private final String source;

    private EventLog(String source) {
        this.source = source;
    }

    /**
     * Creates a log for a class.
     *
     * @param source the class
     * @return the log
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(source.getSimpleName());
    }

    /**
     * Creates a line about an expected event.
     *
     * @param event the name of the event, in words joined by hyphens
     * @return the line, to which fields can be added
     */
    public Line info(String event) {
        return new Line("INFO", source, event);
    }

    /**
     * Creates a line about an event that needs attention if it persists.
     *
     * @param event the name of the event, in words joined by hyphens
     * @return the line, to which fields can be added
     */
    public Line warning(String event) {
        return new Line("WARNING", source, event);
    }

    /**
     * Creates a line about a defect.
     *
     * @param event the name of the event, in words joined by hyphens
     * @return the line, to which fields can be added
     */
    public Line error(String event) {
        return new Line("ERROR", source, event);
    }

    // -----------------------------------------------------------------------
    /**
     * A log line under construction.
     *
     * <p>{@code Line} is mutable and not thread-safe.
     */
    public static final class Line {

        private final String level;

        private final String source;

        private final String event;

        private final Map<String, Object> fields = new TreeMap<>();

        private Line(String level, String source, String event) {
            this.level = level;
            this.source = source;
            this.event = event;
        }

        /**
         * Adds a field.
         *
         * @param name the name
         * @param value the value; integers and booleans are written as such, others as strings
         * @return this line
         */
        public Line with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        /** Passes the line to the log writer. */
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
            } catch (IOException e) {
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
