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

import org.standlink.JobId;
import org.standlink.job.TaskName;

/**
 * Identifies a step of a job, over all of its repetitions.
 *
 * <p>{@code StepId} is thread-safe and immutable.
 *
 * @param job the job
 * @param step the index of the step
 */
record StepId(JobId job, int step) {

    /**
     * Gets the step of a task.
     *
     * @param task the name of the task
     * @return the step
     */
    static StepId of(TaskName task) {
        return new StepId(task.job(), task.step());
    }

    @Override
    public String toString() {
        return job + "." + step;
    }
}
