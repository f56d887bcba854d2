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

import java.util.List;
import org.standlink.JobId;
import org.standlink.job.JobState;

/**
 * Where the time of a job went. All times and durations are in milliseconds.
 *
 * @param id the job
 * @param queue its queue, empty if it is not in the log
 * @param state its final state, null if it is not final in the log
 * @param receivedAt when the leader received it
 * @param totalMillis the time until it was final, or until the end of the log
 * @param firstStartMillis the wait for the first start, {@link #NOT_STARTED} if there was none
 * @param stepWaits the waits between the last end of a step and the first start of the next
 * @param startSpreads for each step, the time between the first starts of its first and last task
 * @param slowestWaits for each step, the time between the ends of its median and its last task
 * @param slowestTask describes the task of the longest of these waits, empty if there is none
 * @param runs the number of assigned runs
 * @param lostRuns the runs without a result, by cause
 */
record JobSummary(
        JobId id,
        String queue,
        JobState state,
        long receivedAt,
        long totalMillis,
        long firstStartMillis,
        List<Long> stepWaits,
        List<Long> startSpreads,
        List<Long> slowestWaits,
        String slowestTask,
        int runs,
        Tally<String> lostRuns) {

    /** The wait for the first start of a job that has not started. */
    static final long NOT_STARTED = -1;

    /** Checks whether any run was assigned. */
    boolean hasStarted() {
        return firstStartMillis != NOT_STARTED;
    }

    /** Gets the wait for the first start so far, in milliseconds. */
    long getFirstStartWaitMillis() {
        return hasStarted() ? firstStartMillis : totalMillis;
    }

    /** Gets the sum of the waits between steps, in milliseconds. */
    long getStepWaitMillis() {
        return sum(stepWaits);
    }

    /**
     * Gets the sum of the times between the first starts of the tasks of a step, in milliseconds.
     * Other tasks run meanwhile.
     */
    long getStartSpreadMillis() {
        return sum(startSpreads);
    }

    /** Gets the sum of the waits for the slowest tasks, in milliseconds. */
    long getSlowestWaitMillis() {
        return sum(slowestWaits);
    }

    /** Gets the time that is not one of the waits, in milliseconds. */
    long getRemainingMillis() {
        long waits = getFirstStartWaitMillis() + getStepWaitMillis() + getSlowestWaitMillis();
        return Math.max(0, totalMillis - waits);
    }

    private static long sum(List<Long> millis) {
        return millis.stream().mapToLong(Long::longValue).sum();
    }
}
