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

import org.standlink.job.JobState;

/**
 * All sums of a report.
 *
 * <p>{@code DayTotals} is not thread-safe.
 */
final class DayTotals {

    /** The first status of an answer that rejects a request. */
    private static final long FIRST_REJECTION_STATUS = 400;

    private final WindowTable windows = new WindowTable();

    private final LongestJobs longestJobs = new LongestJobs();

    private final Tally<String> lostRuns = new Tally<>(LostRunCause.OTHER);

    private final Tally<Rejection> rejections = new Tally<>(Rejection.OTHER);

    private final Tally<String> leaderRejections = new Tally<>(Rejection.OTHER.reason());

    /**
     * Adds a job.
     *
     * @param job the job
     */
    void add(JobSummary job) {
        windows.add(job);
        lostRuns.addAll(job.lostRuns());
        // A job without an end, or cancelled, took long only if jobs of its queue complete: others
        // run until they are cancelled.
        boolean ended = job.state() == JobState.COMPLETED || job.state() == JobState.FAILED;
        if (ended || windows.getTotal(job.queue()).countFinal(JobState.COMPLETED) > 0) {
            longestJobs.offer(job);
        }
    }

    /**
     * Counts an answer that rejects a request.
     *
     * @param answered a line {@code answered}
     */
    void countAnswer(LogLine answered) {
        if (answered.number("status") >= FIRST_REJECTION_STATUS) {
            rejections.add(Rejection.ofAnswer(answered), 1, 0);
        }
    }

    /**
     * Counts a rejection.
     *
     * @param rejection its kind
     */
    void countRejection(Rejection rejection) {
        rejections.add(rejection, 1, 0);
    }

    /**
     * Counts a rejection by a leader; the entry's answer follows as a line of its own.
     *
     * @param reason the reason
     */
    void countLeaderRejection(String reason) {
        leaderRejections.add(reason, 1, 0);
    }

    // -----------------------------------------------------------------------
    WindowTable getWindows() {
        return windows;
    }

    LongestJobs getLongestJobs() {
        return longestJobs;
    }

    /** Gets the runs without a result, by cause, with the time for which they were assigned. */
    Tally<String> getLostRuns() {
        return lostRuns;
    }

    /** Gets the answers to callers that reject a request. */
    Tally<Rejection> getRejections() {
        return rejections;
    }

    /** Gets the rejections by leaders, by reason. */
    Tally<String> getLeaderRejections() {
        return leaderRejections;
    }
}
