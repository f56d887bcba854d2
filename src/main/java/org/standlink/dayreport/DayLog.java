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

import java.util.Set;
import java.util.function.BiConsumer;
import org.standlink.JobId;
import org.standlink.job.JobState;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;

/**
 * Applies the log lines of a run of a deployment to the jobs and sums.
 *
 * <p>{@code DayLog} is not thread-safe.
 */
final class DayLog {

    /**
     * The events that a leader logs before its records are stored, so that they do not count once
     * another leader has replaced it.
     */
    private static final Set<String> DECISIONS =
            Set.of(
                    "assigned",
                    "ended",
                    "released",
                    "final",
                    "stalled",
                    "moving-throttled",
                    "moving",
                    "orders-withdrawn",
                    "unexpected-runs");

    private final DayTotals totals = new DayTotals();

    private final JobTable jobs = new JobTable(totals::add);

    private final LeaderHistory leaders = new LeaderHistory();

    private final WorkerStops workerStops = new WorkerStops();

    private long supersededLines;

    /**
     * Applies a line. Events that the report does not show are ignored.
     *
     * @param line the line
     * @throws org.standlink.StandlinkException if a field of the line is invalid
     */
    void apply(LogLine line) {
        if (DECISIONS.contains(line.event()) && leaders.isSuperseded(line)) {
            supersededLines++;
            return;
        }
        switch (line.event()) {
            case "taking-over", "leading", "deposed", "leader-failed", "resigning" ->
                    leaders.record(line);
            case "received" -> jobs.receive(line.job(), line.timeMillis(), line.flag("again"));
            case "accepted" -> applyAcceptance(line);
            case "refused" -> {
                totals.countLeaderRejection(line.reason("reason"));
                jobs.withdraw(line.job());
            }
            case "answered" -> applyAnswer(line);
            case "no-queue" -> totals.countRejection(Rejection.ofNoQueue());
            case "request-refused" -> totals.countRejection(Rejection.ofMalformed(line));
            case "assigned" -> applyAssignment(line);
            case "ended" -> applyEnd(line);
            case "released" -> applyRelease(line);
            case "final" -> applyFinalState(line);
            case "stalled", "moving-throttled" -> markStop(line.run(), line.event());
            case "unexpected-runs" ->
                    line.runs().forEach(run -> markStop(run, LostRunCause.UNEXPECTED));
            case "moving", "orders-withdrawn" ->
                    workerStops.record(line.text("worker"), line.event(), line.timeMillis());
            default -> {
                // Not about jobs.
            }
        }
    }

    /**
     * Summarizes the remaining jobs.
     *
     * @param time the end of the log, in milliseconds
     */
    void finish(long time) {
        jobs.summarizeAll(time);
    }

    // -----------------------------------------------------------------------
    private void applyAcceptance(LogLine line) {
        long receivedAt = line.timeMillis() - line.number("kept-after-millis");
        jobs.accept(line.job(), line.text("queue"), receivedAt, line.flag("again"));
    }

    private void applyAnswer(LogLine line) {
        totals.countAnswer(line);
        if (line.text("kind").equals("SUBMIT")) {
            jobs.learnQueue(line.job(), line.text("queue"));
        }
    }

    private void applyAssignment(LogLine line) {
        String worker = line.text("worker");
        withJobOf(line.run(), (job, run) -> job.assign(run, worker, line.timeMillis()));
    }

    private void applyEnd(LogLine line) {
        RunEndKind kind = line.constant("how", RunEndKind.class);
        String workerCause = workerStops.getCause(line.text("worker"), line.timeMillis());
        withJobOf(line.run(), (job, run) -> job.end(run, kind, workerCause, line.timeMillis()));
    }

    private void applyRelease(LogLine line) {
        String reason = line.reason("reason");
        String workerCause = workerStops.getCause(line.text("worker"), line.timeMillis());
        withJobOf(
                line.run(), (job, run) -> job.release(run, reason, workerCause, line.timeMillis()));
    }

    private void applyFinalState(LogLine line) {
        JobState state = line.constant("state", JobState.class);
        jobs.finish(line.job(), state, line.timeMillis(), leaders.isTakingOver(line));
    }

    private void markStop(RunId stopped, String cause) {
        withJobOf(stopped, (job, run) -> job.markStop(run, cause));
    }

    private void withJobOf(RunId run, BiConsumer<JobTrace, RunId> change) {
        JobId id = run.task().job();
        jobs.withJob(id, job -> change.accept(job, run));
    }

    // -----------------------------------------------------------------------
    DayTotals getTotals() {
        return totals;
    }

    JobTable getJobs() {
        return jobs;
    }

    LeaderHistory getLeaders() {
        return leaders;
    }

    /** Gets the number of decisions of replaced leaders, which are not counted. */
    long getSupersededLines() {
        return supersededLines;
    }
}
