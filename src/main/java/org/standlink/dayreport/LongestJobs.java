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

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The jobs that took longest.
 *
 * <p>{@code LongestJobs} is not thread-safe.
 */
final class LongestJobs {

    /** The number of jobs. */
    static final int MAX_JOBS = 10;

    private static final Comparator<JobSummary> BY_TOTAL =
            Comparator.comparingLong(JobSummary::totalMillis).thenComparing(JobSummary::id);

    private final PriorityQueue<JobSummary> jobs = new PriorityQueue<>(BY_TOTAL);

    /**
     * Offers a job.
     *
     * @param job the job
     */
    void offer(JobSummary job) {
        jobs.add(job);
        if (jobs.size() > MAX_JOBS) {
            jobs.remove();
        }
    }

    /** Lists the jobs, the longest first. */
    List<JobSummary> list() {
        return jobs.stream().sorted(BY_TOTAL.reversed()).toList();
    }
}
