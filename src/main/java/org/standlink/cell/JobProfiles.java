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

import java.util.HashMap;
import java.util.Map;
import org.standlink.JobId;
import org.standlink.job.QueueDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.ordering.JobProfile;

/**
 * The profiles of jobs, which are computed anew only after a change: a scheduling round needs the
 * profiles of all unfinished jobs, and each takes a walk over all tasks of the job.
 *
 * <p>{@code JobProfiles} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class JobProfiles {

    /** The profiles that are still valid. */
    private final Map<JobId, CachedProfile> profiles = new HashMap<>();

    /** A profile and the definition of the queue that it was computed with. */
    private record CachedProfile(QueueDefinition queue, JobProfile profile) {

        private boolean isValid(JobEntry job, QueueDefinition current) {
            return queue.equals(current) && profile.acceptedAt() == job.getAcceptedAt();
        }
    }

    /**
     * Gets the profile of a job.
     *
     * @param job the job
     * @param queue its queue
     * @return the profile; the same object until the job changes
     */
    JobProfile get(JobEntry job, QueueDefinition queue) {
        CachedProfile cached = profiles.get(job.getId());
        if (cached == null || !cached.isValid(job, queue)) {
            cached = new CachedProfile(queue, compute(job, queue));
            profiles.put(job.getId(), cached);
        }
        return cached.profile();
    }

    /**
     * Discards the profile of a job whose tasks have changed, or that was removed.
     *
     * @param id the job
     */
    void invalidate(JobId id) {
        profiles.remove(id);
    }

    /** Discards all profiles. */
    void invalidateAll() {
        profiles.clear();
    }

    private static JobProfile compute(JobEntry job, QueueDefinition queue) {
        boolean longRunning =
                job.getDefinition().steps().stream().anyMatch(StepDefinition::longRunning);
        double repetitionWork =
                job.getDefinition().steps().stream()
                        .mapToDouble(step -> step.count() * estimateWork(step))
                        .sum();
        double total = repetitionWork * job.getDefinition().repetitionCount();
        double remaining = repetitionWork * job.getWindow().countUnopened();
        for (TaskEntry task : job.allTasks().toList()) {
            remaining += task.isDone() ? 0 : estimateWork(task.getStep());
        }
        long pathMillis = job.criticalPathMillis(false);
        return new JobProfile(
                queue.name(),
                job.getAcceptedAt(),
                queue.targetMillis() + queue.stretch() * pathMillis,
                pathMillis,
                job.criticalPathMillis(true),
                total,
                remaining,
                job.hasStarted(),
                longRunning || job.getDefinition().isTimed());
    }

    /**
     * Estimates the work of a task, by the caller's estimate.
     *
     * @param step the task's step
     * @return the work, in thousandths of a core times milliseconds
     */
    static double estimateWork(StepDefinition step) {
        return (double) step.demand().milliCores() * step.estimatedMillis();
    }
}
