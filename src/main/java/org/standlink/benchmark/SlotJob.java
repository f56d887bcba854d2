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
package org.standlink.benchmark;

import org.standlink.JobId;
import org.standlink.ordering.JobProfile;

/**
 * A job of {@link SlotSimulation}: a chain of steps, each of tasks that take one slot each.
 *
 * <p>{@code SlotJob} is mutable and not thread-safe.
 */
final class SlotJob {

    /** The processors of a task, in thousandths of a core. */
    private static final double TASK_MILLI_CORES = 3500;

    /** The part of the target that does not depend on the critical path, in milliseconds. */
    static final long TARGET_MILLIS = 1000;

    /** The factor by which the critical path counts in the target. */
    static final double STRETCH = 2;

    private final JobId id;

    private final long arrivalMillis;

    /** The run times of the tasks by step, in milliseconds. */
    private final long[][] runMillis;

    /** The caller's estimate of the run time of each step's tasks, in milliseconds. */
    private final long[] estimates;

    /** The present step. */
    private int step;

    /** The number of tasks of the present step that were started. */
    private int startedTasks;

    /** The number of tasks of the present step that are done. */
    private int doneTasks;

    private boolean started;

    private long completedMillis = -1;

    /** The profile, null if the job has changed since it was computed. */
    private JobProfile profile;

    SlotJob(JobId id, long arrivalMillis, long[][] runMillis, long[] estimates) {
        this.id = id;
        this.arrivalMillis = arrivalMillis;
        this.runMillis = runMillis;
        this.estimates = estimates;
    }

    JobId getId() {
        return id;
    }

    long getArrivalMillis() {
        return arrivalMillis;
    }

    /**
     * Gets when the job was completed.
     *
     * @return the time in milliseconds, negative before
     */
    long getCompletedMillis() {
        return completedMillis;
    }

    boolean isDone() {
        return completedMillis >= 0;
    }

    boolean hasReadyTask() {
        return !isDone() && startedTasks < runMillis[step].length;
    }

    /**
     * Starts the next ready task.
     *
     * @return its run time, in milliseconds
     */
    long startTask() {
        profile = started ? profile : null;
        started = true;
        return runMillis[step][startedTasks++];
    }

    /**
     * Ends a task of the present step.
     *
     * @param now the time, in milliseconds
     */
    void endTask(long now) {
        profile = null;
        doneTasks++;
        if (doneTasks == runMillis[step].length) {
            step++;
            startedTasks = 0;
            doneTasks = 0;
            completedMillis = step == runMillis.length ? now : -1;
        }
    }

    /**
     * Computes what the job's caller knows to be its work.
     *
     * @return the run times of all tasks together, in milliseconds
     */
    double trueWork() {
        double work = 0;
        for (long[] tasks : runMillis) {
            for (long task : tasks) {
                work += task;
            }
        }
        return work;
    }

    /**
     * Computes the target by the true mean run times.
     *
     * @return the time from arrival to completion, in milliseconds
     */
    double trueTargetMillis() {
        double path = 0;
        for (long[] tasks : runMillis) {
            double sum = 0;
            for (long task : tasks) {
                sum += task;
            }
            path += sum / tasks.length;
        }
        return TARGET_MILLIS + STRETCH * path;
    }

    /**
     * Gets the profile by the caller's estimates.
     *
     * @param queue the name of the queue
     * @return the profile
     */
    JobProfile getProfile(String queue) {
        if (profile == null) {
            profile = computeProfile(queue);
        }
        return profile;
    }

    private JobProfile computeProfile(String queue) {
        double path = 0;
        double remainingPath = 0;
        double work = 0;
        double remainingWork = 0;
        for (int i = 0; i < runMillis.length; i++) {
            int done = i < step ? runMillis[i].length : i == step ? doneTasks : 0;
            path += estimates[i];
            remainingPath += i < step ? 0 : estimates[i];
            work += TASK_MILLI_CORES * estimates[i] * runMillis[i].length;
            remainingWork += TASK_MILLI_CORES * estimates[i] * (runMillis[i].length - done);
        }
        return new JobProfile(
                queue,
                arrivalMillis,
                TARGET_MILLIS + STRETCH * path,
                path,
                remainingPath,
                work,
                remainingWork,
                started,
                false);
    }
}
