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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import org.standlink.job.JobState;

/**
 * Prints a report as text.
 *
 * <p>{@code DayReportPrinter} is not thread-safe.
 */
final class DayReportPrinter {

    private static final double MEDIAN = 0.5;

    private static final double HIGH_QUANTILE = 0.9;

    private static final String NONE = "-";

    private final PrintStream output;

    /**
     * Creates a printer.
     *
     * @param output where to print
     */
    DayReportPrinter(PrintStream output) {
        this.output = output;
    }

    /**
     * Prints a report.
     *
     * @param reader the reader of the log
     * @param log the log
     */
    void print(LogFileReader reader, DayLog log) {
        printSource(reader, log);
        printQueues(log.getTotals().getWindows());
        printRejections(log.getTotals());
        printLostRuns(log.getTotals().getLostRuns());
        printLongestJobs(log.getTotals().getLongestJobs());
    }

    // -----------------------------------------------------------------------
    private void printSource(LogFileReader reader, DayLog log) {
        output.printf(
                Locale.ROOT,
                "%s: %d lines, %d log lines of standlink, %d invalid lines%n",
                reader.getFile(),
                reader.getLines(),
                reader.getLogLines(),
                reader.getInvalidLines());
        output.printf(
                "from %s s to %s s; times and durations are in seconds%n",
                Seconds.format(reader.getFirstMillis()), Seconds.format(reader.getLastMillis()));
        printIfAny(reader.getDroppedLines(), "log lines dropped by processes; counts are too low");
        printIfAny(
                reader.getUnorderedLines(),
                "lines follow a line that is more than 1 s later; merge the logs by time");
        JobTable jobs = log.getJobs();
        printIfAny(jobs.getWithdrawnJobs(), "jobs received and rejected by a leader");
        printIfAny(jobs.getUnacceptedJobs(), "jobs received, neither accepted nor rejected");
        printIfAny(jobs.getDroppedJobs(), "jobs summarized before their end: too many at a time");
        printIfAny(jobs.getUnknownJobLines(), "lines about jobs whose acceptance is not logged");
        printIfAny(log.getSupersededLines(), "decisions of replaced leaders, not counted");
        LeaderHistory leaders = log.getLeaders();
        if (!leaders.getChanges().isEmpty()) {
            output.println();
            output.println("Leaders");
            leaders.getChanges().forEach(change -> output.println("  " + change));
            printIfAny(leaders.getUnlistedChanges(), "more lines about leaders");
        }
    }

    private void printIfAny(long count, String what) {
        if (count > 0) {
            output.println("  " + count + " " + what);
        }
    }

    // -----------------------------------------------------------------------
    private void printQueues(WindowTable windows) {
        for (String queue : windows.getQueues()) {
            JobGroup total = windows.getTotal(queue);
            SortedMap<Long, JobGroup> byStart = windows.getWindows(queue);
            String title =
                    String.format(
                            "Queue %s, by %s s of acceptance",
                            queue, Seconds.format(windows.getWindowMillis()));
            printWaits(title, byStart, total);
            printOutcomes(byStart, total);
        }
    }

    private void printWaits(String title, SortedMap<Long, JobGroup> byStart, JobGroup total) {
        TextTable table =
                new TextTable(
                        0,
                        "FROM",
                        "JOBS",
                        "FIRST START",
                        "STEP STARTS",
                        "BETWEEN STEPS",
                        "SLOWEST TASK",
                        "COMPLETED AFTER");
        byStart.forEach((start, group) -> table.add(toWaits(Seconds.format(start), group)));
        table.add(toWaits("all", total));
        table.print(output, title + " (waits: median, 90%, maximum)");
    }

    private static List<String> toWaits(String name, JobGroup group) {
        return List.of(
                name,
                Long.toString(group.getJobs()),
                format(group.getFirstStarts()),
                format(group.getStartSpreads()),
                format(group.getStepWaits()),
                format(group.getSlowestWaits()),
                format(group.getTotals()));
    }

    private static String format(DurationSample sample) {
        return sample.getCount() == 0
                ? NONE
                : String.format(
                        Locale.ROOT,
                        "%6s %6s %6s",
                        Seconds.format(sample.getQuantileMillis(MEDIAN)),
                        Seconds.format(sample.getQuantileMillis(HIGH_QUANTILE)),
                        Seconds.format(sample.getMaxMillis()));
    }

    private void printOutcomes(SortedMap<Long, JobGroup> byStart, JobGroup total) {
        TextTable table =
                new TextTable(
                        0,
                        "FROM",
                        "JOBS",
                        "COMPLETED",
                        "FAILED",
                        "CANCELLED",
                        "OPEN",
                        "UNSTARTED",
                        "RUNS",
                        "LOST",
                        "CAUSES OF LOST RUNS");
        byStart.forEach((start, group) -> table.add(toOutcomes(Seconds.format(start), group)));
        table.add(toOutcomes("all", total));
        table.print(output, "  outcomes");
    }

    private static List<String> toOutcomes(String name, JobGroup group) {
        return List.of(
                name,
                Long.toString(group.getJobs()),
                Long.toString(group.countFinal(JobState.COMPLETED)),
                Long.toString(group.countFinal(JobState.FAILED)),
                Long.toString(group.countFinal(JobState.CANCELLED)),
                Long.toString(group.getOpenJobs()),
                Long.toString(group.getUnstartedJobs()),
                Long.toString(group.getRuns()),
                Long.toString(group.getLostRuns().getTotalCount()),
                formatCauses(group.getLostRuns()));
    }

    private static String formatCauses(Tally<String> lostRuns) {
        List<String> causes = new ArrayList<>();
        lostRuns.list().forEach(entry -> causes.add(entry.key() + " " + entry.count()));
        return causes.isEmpty() ? NONE : String.join(", ", causes);
    }

    // -----------------------------------------------------------------------
    private void printRejections(DayTotals totals) {
        TextTable table = new TextTable(0, "STATUS", "COUNT", "REQUEST", "QUEUE", "REASON");
        for (Tally.Entry<Rejection> entry : totals.getRejections().list()) {
            Rejection rejection = entry.key();
            table.add(
                    List.of(
                            Long.toString(rejection.status()),
                            Long.toString(entry.count()),
                            orNone(rejection.request()),
                            orNone(rejection.queue()),
                            rejection.reason()));
        }
        table.print(output, "Requests rejected by entries");
        TextTable byLeaders = new TextTable(0, "COUNT", "REASON");
        totals.getLeaderRejections()
                .list()
                .forEach(row -> byLeaders.add(List.of(Long.toString(row.count()), row.key())));
        byLeaders.print(
                output, "Requests rejected by leaders (the entry's answer is counted above, too)");
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }

    private void printLostRuns(Tally<String> lostRuns) {
        TextTable table = new TextTable(0, "RUNS", "RUN TIME", "CAUSE");
        lostRuns.list().forEach(entry -> table.add(toLostRuns(entry)));
        if (lostRuns.getTotalCount() > 0) {
            Tally.Entry<String> all =
                    new Tally.Entry<>("all", lostRuns.getTotalCount(), lostRuns.getTotalMillis());
            table.add(toLostRuns(all));
        }
        table.print(output, "Lost runs, with the time from their assignment to their end");
    }

    private static List<String> toLostRuns(Tally.Entry<String> entry) {
        return List.of(Long.toString(entry.count()), Seconds.format(entry.millis()), entry.key());
    }

    private void printLongestJobs(LongestJobs jobs) {
        TextTable table =
                new TextTable(
                        2,
                        "JOB",
                        "QUEUE",
                        "ACCEPTED",
                        "STATE",
                        "TOTAL",
                        "FIRST",
                        "BETWEEN",
                        "SLOWEST",
                        "REST",
                        "STARTS",
                        "RUNS",
                        "LOST",
                        "LOST TIME",
                        "SLOWEST TASK");
        jobs.list().forEach(job -> table.add(toLongestJob(job)));
        table.print(
                output,
                "Longest jobs (total time = first start + between steps + slowest task + rest)");
    }

    private static List<String> toLongestJob(JobSummary job) {
        return List.of(
                job.id().toString(),
                orNone(job.queue()),
                Seconds.format(job.receivedAt()),
                job.state() == null ? "OPEN" : job.state().name(),
                Seconds.format(job.totalMillis()),
                Seconds.format(job.getFirstStartWaitMillis()),
                Seconds.format(job.getStepWaitMillis()),
                Seconds.format(job.getSlowestWaitMillis()),
                Seconds.format(job.getRemainingMillis()),
                Seconds.format(job.getStartSpreadMillis()),
                Integer.toString(job.runs()),
                Long.toString(job.lostRuns().getTotalCount()),
                Seconds.format(job.lostRuns().getTotalMillis()),
                orNone(job.slowestTask()));
    }
}
