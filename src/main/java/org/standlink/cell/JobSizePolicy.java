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

import org.standlink.job.JobDefinition;
import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.StepDefinition;
import org.standlink.store.MessagePackCodec;
import org.standlink.store.StoreLimits;

/**
 * Decides whether a cell can keep a job, whatever its backlog is. How often a job repeats does not
 * matter.
 *
 * <p>{@code JobSizePolicy} is not thread-safe; it is confined to the leader's event loop.
 */
final class JobSizePolicy {

    /** The space reserved for the key of a record, in bytes. */
    private static final int KEY_BYTES = 64;

    /** More than the stored length of a step without its dependencies, in bytes. */
    private static final long MAX_STEP_BYTES = 300;

    private final StoreLimits limits;
    private final TaskBudget budget;

    /**
     * Creates a policy.
     *
     * @param limits the largest records that the store accepts
     * @param budget the number of tasks that may be kept
     */
    JobSizePolicy(StoreLimits limits, TaskBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /**
     * Checks whether a job is too large for any leader.
     *
     * @param job the job
     * @return true if it can never be kept
     */
    boolean isTooLarge(JobDefinition job) {
        return job.tasksPerRepetition() > RepetitionWindow.MAX_TASKS
                || mayExceedRecord(job) && storedLength(job) > limits.recordBytes() - KEY_BYTES;
    }

    /**
     * Checks whether there is room for the tasks of a job beside those of the other jobs.
     *
     * @param job the job
     * @return true if so
     */
    boolean hasRoomFor(JobDefinition job) {
        return budget.hasRoomFor(job.tasksPerRepetition());
    }

    private boolean mayExceedRecord(JobDefinition job) {
        long length = 3L * job.specification().length();
        for (StepDefinition step : job.steps()) {
            length += MAX_STEP_BYTES + 5L * step.after().size();
            length += 3L * (step.requiredLabel().length() + step.dataRack().length());
            length += 3L * step.image().length();
        }
        return length > limits.recordBytes() - KEY_BYTES;
    }

    private static int storedLength(JobDefinition job) {
        return MessagePackCodec.encode(job, JobDefinitionFormat.JOB).length;
    }
}
