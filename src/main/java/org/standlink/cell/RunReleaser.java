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
package org.standlink.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.EventLog;

/**
 * Releases from their workers the runs that have ended without a reported end, and collects the
 * jobs that have changed.
 *
 * <p>{@code RunReleaser} is not thread-safe; it is confined to the leader's event loop.
 */
final class RunReleaser {

    private static final EventLog LOG = EventLog.of(AgentReportHandler.class);

    private final JobRegistry jobs;

    private final WorkerRegistry workers;

    /** Gets how many runs of a task of a job may fail. */
    private final ToIntFunction<JobEntry> maxAttempts;

    /** The jobs changed since the last call of {@link #takeChangedJobs()}. */
    private Set<JobEntry> changedJobs = new LinkedHashSet<>();

    RunReleaser(JobRegistry jobs, WorkerRegistry workers, ToIntFunction<JobEntry> maxAttempts) {
        this.jobs = jobs;
        this.workers = workers;
        this.maxAttempts = maxAttempts;
    }

    /**
     * Releases all runs of a worker.
     *
     * @param worker the worker
     * @param reason the reason to be logged
     */
    void releaseAll(WorkerEntry worker, String reason) {
        for (TaskEntry task : List.copyOf(worker.listTasks())) {
            release(task, worker.getIncarnation(), reason);
        }
    }

    /**
     * Releases the last run of a task from its worker.
     *
     * @param task the task
     * @param incarnation the worker
     * @param reason the reason to be logged
     */
    void release(TaskEntry task, WorkerIncarnation incarnation, String reason) {
        logRelease(task, incarnation, reason);
        task.release();
        workers.removeTask(task, incarnation);
        markTaskChanged(task);
    }

    /**
     * Releases the last run of a task from a worker that has ended.
     *
     * @param task the task
     * @param former the worker
     * @param barring the present incarnation of the worker, which refuses all calls that were meant
     *     for the former one
     * @param reason the reason to be logged
     */
    void releaseTo(
            TaskEntry task, WorkerIncarnation former, WorkerIncarnation barring, String reason) {
        logRelease(task, former, reason);
        task.release();
        task.getEarlierStarts().setBarringWorker(barring);
        workers.removeTask(task, former);
        markTaskChanged(task);
    }

    private void logRelease(TaskEntry task, WorkerIncarnation incarnation, String reason) {
        LOG.info("released")
                .with("run", task.getRun())
                .with("worker", incarnation)
                .with("reason", reason)
                .with("in-doubt", workers.getInDoubtRuns().containsTask(task.getName()))
                .write();
    }

    /**
     * Updates the state of a task's job and marks the job as changed.
     *
     * @param task the task; ignored if its job is not registered any more
     */
    void markTaskChanged(TaskEntry task) {
        JobEntry job = jobs.find(task.getName().job());
        if (job == null || job.findTask(task.getName()) != task) {
            // A crash that is reported late may concern a job that has been removed.
            return;
        }
        task.getEarlierStarts().setInDoubt(workers.getInDoubtRuns().containsTask(task.getName()));
        job.updateState(maxAttempts.applyAsInt(job));
        jobs.markChanged(job);
        changedJobs.add(job);
    }

    /**
     * Returns the jobs that have changed since the last call, and clears the list.
     *
     * @return the jobs
     */
    Set<JobEntry> takeChangedJobs() {
        Set<JobEntry> taken = changedJobs;
        changedJobs = new LinkedHashSet<>();
        return taken;
    }
}
