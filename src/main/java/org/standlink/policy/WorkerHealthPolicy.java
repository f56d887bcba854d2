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
package org.standlink.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.standlink.JobId;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * Tells workers that fail everything from jobs that fail everywhere.
 *
 * <p>A worker is set aside after failures of several different jobs in a row without a success. It
 * is probed after a while: it may take one task, and a success brings it back. A job is held back
 * when it has failed on several different workers that were not failing other jobs. A task avoids
 * the workers on which it failed.
 *
 * <p>{@code WorkerHealthPolicy} is mutable and not thread-safe; its owner guards it.
 */
public final class WorkerHealthPolicy {

    /** How many failures in a row set a worker aside. */
    private static final int FAILURES_TO_SET_ASIDE = 3;

    /** Of how many different jobs these must be. */
    private static final int JOBS_TO_SET_ASIDE = 2;

    /** On how many different workers a job must fail to be held back. */
    private static final int WORKERS_TO_HOLD_BACK = 3;

    /** How long a worker is set aside before it is probed, in milliseconds. */
    private static final long PROBE_MILLIS = 60_000;

    /** What is known of a worker. */
    private static final class Record {

        /** Failures since the last success. */
        private int failures;

        /** The jobs that these were of. */
        private final Set<JobId> jobs = new HashSet<>();

        /** When it was last set aside or probed, in milliseconds. */
        private long since;

        /** Whether a probe is under way. */
        private boolean probing;
    }

    /** The workers. */
    private final Map<VmId, Record> workers = new HashMap<>();

    /** The workers on which each job failed without a success of the job in between. */
    private final Map<JobId, Set<VmId>> failedJobs = new HashMap<>();

    /** The workers on which each task failed. */
    private final Map<TaskId, Set<VmId>> failedTasks = new HashMap<>();

    /**
     * Notes a success.
     *
     * @param worker the worker
     * @param task the task
     */
    public void recordSuccess(VmId worker, TaskId task) {
        workers.remove(worker);
        failedJobs.remove(task.getJob());
        failedTasks.remove(task);
    }

    /**
     * Notes a failure.
     *
     * @param worker the worker
     * @param task the task
     * @param nowMillis the time, in milliseconds
     */
    public void recordFailure(VmId worker, TaskId task, long nowMillis) {
        Record record = workers.computeIfAbsent(worker, key -> new Record());
        record.failures++;
        record.jobs.add(task.getJob());
        record.since = nowMillis;
        record.probing = false;
        failedTasks.computeIfAbsent(task, key -> new HashSet<>()).add(worker);
        if (!isFailing(record)) {
            failedJobs.computeIfAbsent(task.getJob(), key -> new HashSet<>()).add(worker);
            return;
        }
        // The worker is to blame, so its failures no longer count against the jobs.
        for (JobId job : record.jobs) {
            failedJobs.getOrDefault(job, new HashSet<>()).remove(worker);
        }
    }

    /**
     * Notes that a task was sent to a worker, which counts as its probe if it is set aside.
     *
     * @param worker the worker
     */
    public void recordAssignment(VmId worker) {
        Record record = workers.get(worker);
        if (record != null && isFailing(record)) {
            record.probing = true;
        }
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether a worker may take new work.
     *
     * @param worker the worker
     * @param nowMillis the time, in milliseconds
     * @return false while it is set aside; true when it is due for a probe
     */
    public boolean isUsable(VmId worker, long nowMillis) {
        Record record = workers.get(worker);
        if (record == null || !isFailing(record)) {
            return true;
        }
        return !record.probing && nowMillis - record.since >= PROBE_MILLIS;
    }

    /**
     * Checks whether a job is held back.
     *
     * @param job the job
     * @return true if it failed on several healthy workers
     */
    public boolean isSuspended(JobId job) {
        return failedJobs.getOrDefault(job, Set.of()).size() >= WORKERS_TO_HOLD_BACK;
    }

    /**
     * Gets the workers that a task avoids.
     *
     * @param task the task
     * @return the workers on which it failed
     */
    public Set<VmId> getAvoidedWorkers(TaskId task) {
        return failedTasks.getOrDefault(task, Set.of());
    }

    /**
     * Forgets what is known of a job, because it was changed or removed.
     *
     * @param isPresent tells whether a job is still there unchanged
     */
    public void retainJobs(java.util.function.Predicate<JobId> isPresent) {
        failedJobs.keySet().removeIf(job -> !isPresent.test(job));
        failedTasks.keySet().removeIf(task -> !isPresent.test(task.getJob()));
    }

    private static boolean isFailing(Record record) {
        return record.failures >= FAILURES_TO_SET_ASIDE && record.jobs.size() >= JOBS_TO_SET_ASIDE;
    }
}
