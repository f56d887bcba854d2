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

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.standlink.job.Configuration;

/**
 * The number of runs that may fail for each task of a job. A leader may read its state before the
 * configuration; no task fails permanently by its attempts until the limits are known.
 *
 * <p>{@code AttemptLimits} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class AttemptLimits implements ToIntFunction<JobEntry> {

    private final Supplier<Configuration> configuration;

    /** The configuration whose limits were applied to all jobs last. */
    private Configuration applied = Configuration.NONE;

    AttemptLimits(Supplier<Configuration> configuration) {
        this.configuration = configuration;
    }

    @Override
    public int applyAsInt(JobEntry job) {
        return configuration.get().getMaxAttempts(job.getDefinition().queue());
    }

    /**
     * Applies the limits to all jobs once a configuration has been read or has changed: the jobs
     * were evaluated by other limits until then, those of unknown queues without any.
     *
     * @param jobs the jobs
     * @return the jobs that have become final; they are marked as changed in the registry
     */
    List<JobEntry> applyIfChanged(JobRegistry jobs) {
        List<JobEntry> finalJobs = new ArrayList<>();
        Configuration current = configuration.get();
        if (current == applied || !current.isRead()) {
            return finalJobs;
        }
        applied = current;
        for (JobEntry job : jobs.getJobs()) {
            boolean wasOpen = !job.getState().isFinal();
            job.updateState(applyAsInt(job));
            if (wasOpen && job.getState().isFinal()) {
                jobs.markChanged(job);
                finalJobs.add(job);
            }
        }
        return finalJobs;
    }
}
