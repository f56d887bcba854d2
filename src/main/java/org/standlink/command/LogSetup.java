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
package org.standlink.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.text.MessageFormat;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Sets up {@code java.util.logging}: each record is written as a line of text or of JSON.
 *
 * <p>{@code LogSetup} is thread-safe and immutable.
 */
final class LogSetup {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The formats of a line. */
    enum Format {
        /** Time, level, process and message. */
        TEXT,
        /** One JSON object. */
        JSON
    }

    private LogSetup() {}

    /**
     * Sets up the log.
     *
     * @param format the format of a line
     * @param process the name of the process in log lines
     */
    static void apply(Format format, String process) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler();
        handler.setFormatter(
                format == Format.JSON ? new JsonFormatter(process) : new TextFormatter(process));
        root.addHandler(handler);
    }

    private static String messageOf(LogRecord record) {
        String message = record.getMessage();
        Object[] parameters = record.getParameters();
        if (parameters == null || parameters.length == 0) {
            return message;
        }
        return MessageFormat.format(message, parameters);
    }

    /** Formats a record as a line of text. */
    private static final class TextFormatter extends Formatter {

        private final String process;

        private TextFormatter(String process) {
            this.process = process;
        }

        @Override
        public String format(LogRecord record) {
            String thrown = record.getThrown() == null ? "" : " " + record.getThrown();
            return Instant.ofEpochMilli(record.getMillis())
                    + " "
                    + record.getLevel()
                    + " "
                    + process
                    + " "
                    + messageOf(record)
                    + thrown
                    + "\n";
        }
    }

    /** Formats a record as a JSON object on one line. */
    private static final class JsonFormatter extends Formatter {

        private final String process;

        private JsonFormatter(String process) {
            this.process = process;
        }

        @Override
        public String format(LogRecord record) {
            ObjectNode line = MAPPER.createObjectNode();
            line.put("time", Instant.ofEpochMilli(record.getMillis()).toString());
            line.put("level", record.getLevel().getName());
            line.put("process", process);
            line.put("logger", record.getLoggerName());
            line.put("message", messageOf(record));
            if (record.getThrown() != null) {
                line.put("error", record.getThrown().toString());
            }
            try {
                return MAPPER.writeValueAsString(line) + "\n";
            } catch (JsonProcessingException impossible) {
                return record.getMessage() + "\n";
            }
        }
    }
}
