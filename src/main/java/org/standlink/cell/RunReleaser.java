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
 * Takes runs that are over without an end off their workers, and remembers which jobs have changed.
 *
 * <p>{@code RunReleaser} is not thread-safe; the leader's loop owns it.
 */
final class RunReleaser {

    /** The log. */
    private static final EventLog LOG = EventLog.of(AgentReportHandler.class);

    /** The jobs. */
    private final JobRegistry board;

    /** The workers. */
    private final WorkerRegistry workers;

    /** Tells how many runs of a job's task may fail. */
    private final ToIntFunction<JobEntry> mostAttempts;

    /** The jobs that have changed since they were taken last. */
    private Set<JobEntry> touched = new LinkedHashSet<>();

    /**
     * Constructor.
     *
     * @param board the jobs
     * @param workers the workers
     * @param mostAttempts tells how many runs of a job's task may fail
     */
    RunReleaser(JobRegistry board, WorkerRegistry workers, ToIntFunction<JobEntry> mostAttempts) {
        this.board = board;
        this.workers = workers;
        this.mostAttempts = mostAttempts;
    }

    /**
     * Takes all runs off a worker.
     *
     * @param worker the worker
     * @param reason why, for the log
     */
    void releaseAll(WorkerEntry worker, String reason) {
        for (TaskEntry task : List.copyOf(worker.listTasks())) {
            release(task, worker.getIncarnation(), reason);
        }
    }

    /**
     * Takes the last run of a task off its worker.
     *
     * @param task the task
     * @param place the worker
     * @param reason why, for the log
     */
    void release(TaskEntry task, WorkerIncarnation place, String reason) {
        LOG.info("released")
                .with("run", task.getRun())
                .with("worker", place)
                .with("reason", reason)
                .write();
        task.release();
        workers.removeTask(task, place);
        markTaskChanged(task);
    }

    /**
     * Takes note that something of a task has changed.
     *
     * @param task the task
     */
    void markTaskChanged(TaskEntry task) {
        JobEntry job = board.find(task.getName().job());
        if (job == null || job.findTask(task.getName()) != task) {
            // A crash that is told late may be of a job that is forgotten by now.
            return;
        }
        job.updateState(mostAttempts.applyAsInt(job));
        board.markChanged(job);
        touched.add(job);
    }

    /**
     * Takes the jobs that have changed since this was called last.
     *
     * @return the jobs
     */
    Set<JobEntry> takeChangedJobs() {
        Set<JobEntry> taken = touched;
        touched = new LinkedHashSet<>();
        return taken;
    }
}
