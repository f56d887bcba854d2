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
 * Distinguishes workers on which every task fails from jobs that fail on every worker.
 *
 * <p>A worker is excluded after consecutive failures of several different jobs. It is probed with a
 * single task after a while, and a success ends the exclusion. A job is suspended when it has
 * failed on several different workers that were not failing other jobs. A task avoids the workers
 * on which it has failed.
 *
 * <p>{@code WorkerHealthPolicy} is mutable and not thread-safe; callers must synchronise access.
 */
public final class WorkerHealthPolicy {

    /** The number of consecutive failures after which a worker is excluded. */
    private static final int FAILURES_TO_EXCLUDE = 3;

    /** The number of different jobs to which these failures must belong. */
    private static final int JOBS_TO_EXCLUDE = 2;

    /** The number of different workers on which a job must fail to be suspended. */
    private static final int WORKERS_TO_SUSPEND = 3;

    /** How long a worker is excluded before it is probed, in milliseconds. */
    private static final long PROBE_DELAY_MILLIS = 60_000;

    /** The state of a worker since its last success. */
    private static final class WorkerState {

        private int failures;

        /** The jobs whose tasks have failed. */
        private final Set<JobId> jobs = new HashSet<>();

        /** When a task last failed, in milliseconds. */
        private long lastFailureMillis;

        /** Whether a probe is in progress. */
        private boolean probing;
    }

    private final Map<VmId, WorkerState> workers = new HashMap<>();

    /** The workers on which each job has failed since its last success. */
    private final Map<JobId, Set<VmId>> failedJobs = new HashMap<>();

    /** The workers on which each task has failed. */
    private final Map<TaskId, Set<VmId>> failedTasks = new HashMap<>();

    /**
     * Records a success.
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
     * Records a failure.
     *
     * @param worker the worker
     * @param task the task
     * @param nowMillis the current time, in milliseconds
     */
    public void recordFailure(VmId worker, TaskId task, long nowMillis) {
        WorkerState state = workers.computeIfAbsent(worker, key -> new WorkerState());
        state.failures++;
        state.jobs.add(task.getJob());
        state.lastFailureMillis = nowMillis;
        state.probing = false;
        failedTasks.computeIfAbsent(task, key -> new HashSet<>()).add(worker);
        if (!isExcluded(state)) {
            failedJobs.computeIfAbsent(task.getJob(), key -> new HashSet<>()).add(worker);
            return;
        }
        // The failures are attributed to the worker and no longer count against the jobs.
        for (JobId job : state.jobs) {
            failedJobs.getOrDefault(job, new HashSet<>()).remove(worker);
        }
    }

    /**
     * Records that a task was assigned to a worker, which is its probe if the worker is excluded.
     *
     * @param worker the worker
     */
    public void recordAssignment(VmId worker) {
        WorkerState state = workers.get(worker);
        if (state != null && isExcluded(state)) {
            state.probing = true;
        }
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether tasks may be assigned to a worker.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return false while the worker is excluded; true when a probe is due
     */
    public boolean isUsable(VmId worker, long nowMillis) {
        WorkerState state = workers.get(worker);
        if (state == null || !isExcluded(state)) {
            return true;
        }
        return !state.probing && nowMillis - state.lastFailureMillis >= PROBE_DELAY_MILLIS;
    }

    /**
     * Checks whether a job is suspended.
     *
     * @param job the job
     * @return true if it has failed on several healthy workers
     */
    public boolean isSuspended(JobId job) {
        return failedJobs.getOrDefault(job, Set.of()).size() >= WORKERS_TO_SUSPEND;
    }

    /**
     * Gets the workers that a task avoids.
     *
     * @param task the task
     * @return the workers on which it has failed
     */
    public Set<VmId> getAvoidedWorkers(TaskId task) {
        return failedTasks.getOrDefault(task, Set.of());
    }

    /**
     * Removes the failures of jobs that were changed or removed.
     *
     * @param isPresent checks whether a job still exists unchanged
     */
    public void retainJobs(java.util.function.Predicate<JobId> isPresent) {
        failedJobs.keySet().removeIf(job -> !isPresent.test(job));
        failedTasks.keySet().removeIf(task -> !isPresent.test(task.getJob()));
    }

    private static boolean isExcluded(WorkerState state) {
        return state.failures >= FAILURES_TO_EXCLUDE && state.jobs.size() >= JOBS_TO_EXCLUDE;
    }
}
