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
 * How many runs of a job's tasks may fail. A leader may read its state before the configuration,
 * and judges no task until it knows the limits.
 *
 * <p>{@code AttemptLimits} is mutable and not thread-safe; the leader's loop owns it.
 */
final class AttemptLimits implements ToIntFunction<JobEntry> {

    /** The configuration in force. */
    private final Supplier<Configuration> configuration;

    /** Whether all jobs have been judged by a configuration. */
    private boolean judged;

    /**
     * Constructor.
     *
     * @param configuration the configuration in force
     */
    AttemptLimits(Supplier<Configuration> configuration) {
        this.configuration = configuration;
    }

    @Override
    public int applyAsInt(JobEntry job) {
        return configuration.get().getMaxAttempts(job.getDefinition().queue());
    }

    /**
     * Judges all jobs by the first configuration that was read, as their tasks were judged without
     * limits before.
     *
     * @param board the jobs
     * @return the jobs that have become final, which are marked on the board
     */
    List<JobEntry> applyOnce(JobRegistry board) {
        List<JobEntry> ended = new ArrayList<>();
        if (judged || !configuration.get().isRead()) {
            return ended;
        }
        judged = true;
        for (JobEntry job : board.getJobs()) {
            boolean open = !job.getState().isFinal();
            job.updateState(applyAsInt(job));
            if (open && job.getState().isFinal()) {
                board.markChanged(job);
                ended.add(job);
            }
        }
        return ended;
    }
}
