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
import org.standlink.dayreport.DayReport;

/**
 * {@code standlink explain}: shows the decisions of all processes about one job in chronological
 * order, or a report on all jobs of a run of a deployment.
 *
 * <p>For a job, it reads the log files of any number of processes. Text before the JSON object of a
 * line, such as a time or a machine's name, is shown as the place. For a report, it reads one
 * merged log.
 */
final class ExplainCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The fields that are not listed after the event. */
    private static final Set<String> UNLISTED_FIELDS = Set.of("time", "level", "source", "event");

    @Argument(index = 0, metaVar = "JOB", usage = "the job's identifier; requires --log")
    private String job;

    @Option(name = "--log", metaVar = "FILE", usage = "a log file; may be repeated")
    private List<Path> files = new ArrayList<>();

    @Option(
            name = "--day",
            metaVar = "LOGFILE",
            usage = "report on all jobs in a merged log, in place of JOB")
    private Path day;

    /** A log line about the job. */
    private record Line(Instant time, String place, ObjectNode fields) {}

    @Override
    public int run() {
        checkUsage();
        if (day == null) {
            explainJob();
        } else {
            DayReport.read(day, text -> System.err.println("standlink: " + text)).print(System.out);
        }
        return 0;
    }

    // -----------------------------------------------------------------------
    private void checkUsage() {
        if ((job == null) == (day == null)) {
            throw new StandlinkException(
                    ErrorCode.USAGE,
                    job == null ? "neither JOB nor --day is given" : "JOB and --day are both given",
                    "give either JOB with --log FILE, or --day LOGFILE");
        }
        if (files.isEmpty() != (job == null)) {
            throw new StandlinkException(
                    ErrorCode.USAGE,
                    job == null ? "--log is given with --day" : "--log is missing",
                    "give --log FILE with JOB, and only then");
        }
    }

    private void explainJob() {
        List<Line> lines = new ArrayList<>();
        for (Path file : files) {
            TextFiles.read(file).lines().forEach(text -> add(text, lines));
        }
        if (lines.isEmpty()) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "no log line mentions " + job,
                    "pass the logs of all entries and agents of that time");
        }
        lines.sort(Comparator.comparing(Line::time));
        lines.forEach(line -> System.out.println(render(line, lines.get(0).time())));
    }

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
        } catch (JsonProcessingException malformed) {
            System.err.println("standlink: ignored a line that is not valid JSON: " + text);
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
                            if (!UNLISTED_FIELDS.contains(field.getKey())) {
                                text.append("  ").append(field.getKey()).append('=');
                                text.append(field.getValue().asText());
                            }
                        });
        return text.toString();
    }
}
