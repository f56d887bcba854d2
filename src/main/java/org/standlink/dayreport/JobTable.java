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

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.standlink.JobId;
import org.standlink.job.JobState;

/**
 * The jobs whose summary may still change. A job is summarized and forgotten some time after it is
 * final, or earlier if there are too many.
 *
 * <p>{@code JobTable} is not thread-safe.
 */
final class JobTable {

    /** The maximum number of jobs; a run of some minutes has hundreds to thousands. */
    static final int MAX_JOBS = 20_000;

    /**
     * The maximum number of tasks of all jobs. A log with 150,000 tasks, each in a step of its own,
     * needs a heap of 128 MB; tasks that share a step need less.
     */
    static final int MAX_TASKS = 200_000;

    /**
     * The number of forgotten jobs that are remembered by name, so that late lines about them, of
     * runs that end or of a new leader, are not taken for lines about an unknown job.
     */
    static final int MAX_FORGOTTEN = 50_000;

    /**
     * How long a final job is kept, in milliseconds, because its final state may not have been
     * stored. In a run in which the store failed for 6 s, the next leader repeated that up to 14 s
     * later.
     */
    static final long FINAL_JOB_RETENTION_MILLIS = 60_000;

    private final Consumer<JobSummary> finished;

    /** The jobs that are not final, in the order of their receipt. */
    private final Map<JobId, JobTrace> openJobs = new LinkedHashMap<>();

    /** The jobs that are final, in the order of their ends. */
    private final Map<JobId, JobTrace> finalJobs = new LinkedHashMap<>();

    private final Set<JobId> forgotten = new LinkedHashSet<>();

    private int taskCount;

    private long unknownJobLines;

    private long droppedJobs;

    private long unacceptedJobs;

    private long withdrawnJobs;

    /**
     * Creates an empty table.
     *
     * @param finished receives the summary of each job that is forgotten
     */
    JobTable(Consumer<JobSummary> finished) {
        this.finished = finished;
    }

    /**
     * Records that a leader received a job.
     *
     * @param id the job
     * @param time when, in milliseconds
     * @param again whether the leader knew the job
     */
    void receive(JobId id, long time, boolean again) {
        if (again || forgotten.contains(id)) {
            return;
        }
        JobTrace known = find(id);
        if (known == null || !known.isAccepted()) {
            // What an earlier leader did with the job was not stored.
            remove(id);
            add(new JobTrace(id, time));
        }
    }

    /**
     * Records that a job was stored.
     *
     * @param id the job
     * @param queue its queue
     * @param receivedAt when it was received, in milliseconds
     * @param again whether the leader knew the job before
     */
    void accept(JobId id, String queue, long receivedAt, boolean again) {
        if (!again && find(id) == null && !forgotten.contains(id)) {
            add(new JobTrace(id, receivedAt));
        }
        withJob(id, job -> job.accept(queue));
    }

    /**
     * Records the queue of a job, if the job is known.
     *
     * @param id the job
     * @param queue its queue
     */
    void learnQueue(JobId id, String queue) {
        JobTrace job = find(id);
        if (job != null) {
            job.learnQueue(queue);
        }
    }

    /**
     * Removes a job that a leader rejected, unless it was stored before.
     *
     * @param id the job
     */
    void withdraw(JobId id) {
        JobTrace job = find(id);
        if (job != null && !job.isAccepted()) {
            remove(id);
            withdrawnJobs++;
        }
    }

    /**
     * Changes a job.
     *
     * @param id the job; if it is not known, the line is counted
     * @param change the change
     */
    void withJob(JobId id, Consumer<JobTrace> change) {
        JobTrace job = find(id);
        if (job != null) {
            int before = job.getTaskCount();
            boolean wasFinal = job.isFinal();
            change.accept(job);
            taskCount += job.getTaskCount() - before;
            if (job.isFinal() != wasFinal) {
                (wasFinal ? finalJobs : openJobs).remove(id);
                (wasFinal ? openJobs : finalJobs).put(id, job);
            }
            dropOldest();
        } else if (!forgotten.contains(id)) {
            unknownJobLines++;
        }
    }

    /**
     * Records that a job is final, and summarizes the jobs that were final long before.
     *
     * @param id the job
     * @param state its state
     * @param time when it became final, in milliseconds
     * @param restored whether a new leader found this in the stored state
     */
    void finish(JobId id, JobState state, long time, boolean restored) {
        withJob(id, job -> job.finish(state, time, restored));
        while (!finalJobs.isEmpty()
                && first(finalJobs).getFinalAt() < time - FINAL_JOB_RETENTION_MILLIS) {
            summarize(first(finalJobs), time);
        }
    }

    /**
     * Summarizes all remaining jobs.
     *
     * @param time the end of the log, in milliseconds
     */
    void summarizeAll(long time) {
        while (!finalJobs.isEmpty()) {
            summarize(first(finalJobs), time);
        }
        while (!openJobs.isEmpty()) {
            JobTrace job = first(openJobs);
            if (job.isAccepted()) {
                summarize(job, time);
            } else {
                remove(job.getId());
                unacceptedJobs++;
            }
        }
    }

    // -----------------------------------------------------------------------
    private JobTrace find(JobId id) {
        JobTrace job = openJobs.get(id);
        return job == null ? finalJobs.get(id) : job;
    }

    private static JobTrace first(Map<JobId, JobTrace> jobs) {
        return jobs.values().iterator().next();
    }

    private void add(JobTrace job) {
        openJobs.put(job.getId(), job);
        dropOldest();
    }

    private void remove(JobId id) {
        JobTrace job = find(id);
        if (job != null) {
            taskCount -= job.getTaskCount();
            openJobs.remove(id);
            finalJobs.remove(id);
        }
    }

    private void summarize(JobTrace job, long time) {
        remove(job.getId());
        forgotten.add(job.getId());
        if (forgotten.size() > MAX_FORGOTTEN) {
            forgotten.remove(forgotten.iterator().next());
        }
        finished.accept(job.summarize(time));
    }

    private void dropOldest() {
        while (getJobCount() > MAX_JOBS || taskCount > MAX_TASKS) {
            boolean open = finalJobs.isEmpty();
            JobTrace oldest = first(open ? openJobs : finalJobs);
            droppedJobs += open ? 1 : 0;
            summarize(oldest, oldest.getLastChangeAt());
        }
    }

    // -----------------------------------------------------------------------
    /** Gets the number of jobs that are kept in memory. */
    int getJobCount() {
        return openJobs.size() + finalJobs.size();
    }

    /** Gets the number of lines about jobs whose acceptance is not in the log. */
    long getUnknownJobLines() {
        return unknownJobLines;
    }

    /**
     * Gets the number of jobs that were summarized before their end because there were too many.
     */
    long getDroppedJobs() {
        return droppedJobs;
    }

    /** Gets the number of jobs that were received and neither accepted nor rejected. */
    long getUnacceptedJobs() {
        return unacceptedJobs;
    }

    /** Gets the number of jobs that a leader received and then rejected. */
    long getWithdrawnJobs() {
        return withdrawnJobs;
    }
}
