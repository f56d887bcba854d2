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
import org.standlink.job.StepDefinition;

/**
 * What a job is still worth to its caller, for each part of its work that is left. What is worth
 * most comes first, so that a crowd makes some jobs late and not all, and what has begun is
 * finished; none is given up.
 *
 * <p>{@code JobValue} is thread-safe and immutable.
 *
 * @param punctuality whether the job can be on time
 * @param valuePerWork its worth, as a share of its full worth, by the share of its work that is
 *     left
 */
record JobValue(Punctuality punctuality, double valuePerWork) implements Comparable<JobValue> {

    /** Whether a job can be on time. */
    enum Punctuality {
        /** It can be on time. */
        ON_TIME(1),
        /** It will be late, but still of some use to its caller. */
        LATE(0.15),
        /** It comes too late to be of use. */
        TOO_LATE(0);

        /** What the job is worth, as a share of its full worth; the operators' sheets say so. */
        private final double worth;

        Punctuality(double worth) {
            this.worth = worth;
        }
    }

    /**
     * The share of the guessed work that is taken to be left at least of a job that has begun,
     * since guesses are off by half either way: it is only put back when even then it would be
     * late.
     */
    private static final double BEGUN_WORK = 0.8;

    /**
     * The same for a job that has not begun, with some to spare for failures and for waiting
     * between its steps: a job that is begun with none is late all the same and takes the place of
     * another.
     */
    private static final double NEW_WORK = 1.2;

    /** How many times its target a job may take to be of some use, as the operators count it. */
    private static final int USEFUL_TARGETS = 3;

    /** The least share of its work that counts as left, so that worth by work has a bound. */
    private static final double LEAST_LEFT = 0.02;

    /**
     * Judges a job.
     *
     * @param job the job
     * @param queue its queue
     * @param now the time on the leader's clock
     * @return what it can still reach; a job that lasts or has times is worth most
     */
    static JobValue of(JobEntry job, QueueDefinition queue, long now) {
        boolean lasts = job.getDefinition().steps().stream().anyMatch(step -> step.longRunning());
        if (lasts || job.getDefinition().isTimed()) {
            return new JobValue(Punctuality.ON_TIME, 1 / LEAST_LEFT);
        }
        Punctuality punctuality = punctuality(job, queue, now);
        double left = Math.max(LEAST_LEFT, remainingShare(job));
        return new JobValue(punctuality, punctuality.worth / left);
    }

    /**
     * Works out how much of the work is left, by what the caller guessed; 1 if it guessed nothing.
     */
    private static double remainingShare(JobEntry job) {
        double all = 0;
        double left = 0;
        for (TaskEntry task : job.allTasks().toList()) {
            StepDefinition step = task.getStep();
            double work = (double) step.demand().milliCores() * step.estimatedMillis();
            all += work;
            left += task.isDone() ? 0 : work;
        }
        return all == 0 ? 1 : left / all;
    }

    private static Punctuality punctuality(JobEntry job, QueueDefinition queue, long now) {
        double target = queue.targetMillis() + queue.stretch() * job.criticalPathMillis(false);
        double work = (job.hasStarted() ? BEGUN_WORK : NEW_WORK) * job.criticalPathMillis(true);
        double ready = now - job.getAcceptedAt() + work;
        if (ready <= target) {
            return Punctuality.ON_TIME;
        }
        return ready <= USEFUL_TARGETS * target ? Punctuality.LATE : Punctuality.TOO_LATE;
    }

    // -----------------------------------------------------------------------
    @Override
    public int compareTo(JobValue other) {
        return Double.compare(other.valuePerWork, valuePerWork);
    }
}
