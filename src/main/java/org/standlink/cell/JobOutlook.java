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

import org.standlink.job.QueueDefinition;

/**
 * What a job can still reach, by its age and the work that is left. Jobs that can be on time come
 * first, so that a crowd makes some jobs late and not all; none is given up.
 */
enum JobOutlook {
    /** It can be on time. */
    ON_TIME,
    /** It will be late, but still of some use to its caller. */
    LATE,
    /** It comes too late to be of use. */
    TOO_LATE;

    /**
     * The share of the guessed work that is taken to be left at least, since guesses are off by
     * half either way: a job is only put back when even then it would be late.
     */
    private static final double LEAST_WORK = 0.8;

    /** How many times its target a job may take to be of some use, as the operators count it. */
    private static final int USEFUL_TARGETS = 3;

    /**
     * Judges a job.
     *
     * @param job the job
     * @param queue its queue
     * @param now the time on the leader's clock
     * @return what it can still reach; a job that lasts or has times can always be on time
     */
    static JobOutlook of(JobEntry job, QueueDefinition queue, long now) {
        boolean lasts = job.getDefinition().steps().stream().anyMatch(step -> step.longRunning());
        if (lasts || job.getDefinition().isTimed()) {
            return ON_TIME;
        }
        double target = queue.targetMillis() + queue.stretch() * job.chainMillis(false);
        double ready = now - job.getAcceptedAt() + LEAST_WORK * job.chainMillis(true);
        if (ready <= target) {
            return ON_TIME;
        }
        return ready <= USEFUL_TARGETS * target ? LATE : TOO_LATE;
    }
}
