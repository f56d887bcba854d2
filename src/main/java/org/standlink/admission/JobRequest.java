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
package org.standlink.admission;

import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;

/**
 * What the admission of a job depends on, by its caller's estimates.
 *
 * <p>{@code JobRequest} is thread-safe and immutable.
 *
 * @param job the identifier
 * @param queue the name of the queue
 * @param priority the priority of the queue; 0 is the highest
 * @param targetMillis the time from acceptance to completion that the queue promises, in
 *     milliseconds
 * @param pathMillis the critical path, in milliseconds
 * @param lastRunMillis the run time of a task of the last step, in milliseconds
 * @param work the work of all tasks, in thousandths of a core times milliseconds
 * @param taskMilliCores the largest demand of a task that can start at once, in thousandths of a
 *     core
 * @param firstMilliCores the demand of all tasks that can start at once, in thousandths of a core
 * @param bestEffort whether all tasks use only processors that others leave idle
 * @param startsBestEffort whether this holds for all tasks that can start at once
 * @param unbounded whether the job has no completion to be in time for, because its tasks run until
 *     it is cancelled or start at given times
 */
public record JobRequest(
        JobId job,
        String queue,
        int priority,
        double targetMillis,
        double pathMillis,
        double lastRunMillis,
        double work,
        double taskMilliCores,
        double firstMilliCores,
        boolean bestEffort,
        boolean startsBestEffort,
        boolean unbounded) {

    /**
     * Derives the request from a definition.
     *
     * @param job the job
     * @param queue its queue
     * @return the request
     */
    public static JobRequest of(JobDefinition job, QueueDefinition queue) {
        double work = 0;
        double taskMilliCores = 0;
        double firstMilliCores = 0;
        boolean bestEffort = !job.steps().isEmpty();
        boolean startsBestEffort = bestEffort;
        boolean unbounded = job.isTimed();
        for (StepDefinition step : job.steps()) {
            double milliCores = step.demand().milliCores();
            work += step.count() * milliCores * step.estimatedMillis();
            if (step.after().isEmpty()) {
                taskMilliCores = Math.max(taskMilliCores, milliCores);
                firstMilliCores += step.count() * milliCores;
                startsBestEffort &= step.bestEffort();
            }
            bestEffort &= step.bestEffort();
            unbounded |= step.longRunning();
        }
        double pathMillis = computePathMillis(job);
        int last = job.steps().size() - 1;
        return new JobRequest(
                job.id(),
                queue.name(),
                queue.priority(),
                queue.targetMillis() + queue.stretch() * pathMillis,
                pathMillis,
                last < 0 ? 0 : job.steps().get(last).estimatedMillis(),
                work,
                taskMilliCores,
                firstMilliCores,
                bestEffort,
                startsBestEffort,
                unbounded);
    }

    private static double computePathMillis(JobDefinition job) {
        double[] endMillis = new double[job.steps().size()];
        double longest = 0;
        for (int step = 0; step < endMillis.length; step++) {
            StepDefinition definition = job.steps().get(step);
            for (int predecessor : definition.after()) {
                endMillis[step] = Math.max(endMillis[step], endMillis[predecessor]);
            }
            endMillis[step] += definition.estimatedMillis();
            longest = Math.max(longest, endMillis[step]);
        }
        return longest;
    }
}
