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
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * {@code standlink explain}: shows what the processes decided about one job, in the order of time.
 *
 * <p>It reads the log files of any number of processes. Lines before the JSON object, such as a
 * time or a machine's name, are shown as the place.
 */
final class ExplainCommand implements Command {

    /** The serializer. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The fields that are shown in columns of their own. */
    private static final Set<String> COLUMNS = Set.of("time", "level", "source", "event");

    /** The job. */
    @Argument(index = 0, required = true, metaVar = "JOB", usage = "the job's identifier")
    private String job;

    /** The files. */
    @Option(name = "--log", required = true, metaVar = "FILE", usage = "a log; may be repeated")
    private List<Path> files;

    /** A line that concerns the job. */
    private record Line(Instant time, String place, ObjectNode fields) {}

    @Override
    public int run() {
        List<Line> lines = new ArrayList<>();
        for (Path file : files) {
            TextFiles.read(file).lines().forEach(text -> add(text, lines));
        }
        if (lines.isEmpty()) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "no line names " + job,
                    "give the logs of all entries and agents of that time");
        }
        lines.sort(Comparator.comparing(Line::time));
        lines.forEach(line -> System.out.println(render(line, lines.get(0).time())));
        return 0;
    }

    // -----------------------------------------------------------------------
    private void add(String text, List<Line> lines) {
        int start = text.indexOf('{');
        if (start < 0 || !text.contains(job)) {
            return;
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            if (node instanceof ObjectNode fields && fields.has("time")) {
                Instant time = Instant.parse(fields.get("time").asText());
                lines.add(new Line(time, text.substring(0, start).trim(), fields));
            }
        } catch (JsonProcessingException cut) {
            System.err.println("standlink: passed over a line that is not JSON: " + text);
        }
    }

    private static String render(Line line, Instant first) {
        StringBuilder text = new StringBuilder();
        long millis = Duration.between(first, line.time()).toMillis();
        text.append(String.format("+%7d ms  %-28s ", millis, line.place()));
        text.append(line.fields().path("event").asText());
        line.fields()
                .fields()
                .forEachRemaining(
                        field -> {
                            if (!COLUMNS.contains(field.getKey())) {
                                text.append("  ").append(field.getKey()).append('=');
                                text.append(field.getValue().asText());
                            }
                        });
        return text.toString();
    }
}
