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
package org.standlink.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.standlink.JobId;

/**
 * A stream of jobs for {@link SlotSimulation}: Poisson arrivals at a normal rate with a burst in
 * between.
 *
 * <p>{@code SlotLoad} is thread-safe and immutable.
 *
 * @param burstLoad the work that arrives during the burst, as a multiple of the capacity
 * @param burstMillis the length of the burst, in milliseconds
 * @param estimateError by which share estimates deviate from the true run time at most, 0 to 1
 */
record SlotLoad(double burstLoad, long burstMillis, double estimateError) {

    /** The number of slots: the capacity for 2.35 jobs of 40 tasks of 2.43 s per second. */
    static final int SLOTS = 230;

    /** The work that arrives before and after the burst, as a multiple of the capacity. */
    private static final double NORMAL_LOAD = 0.6;

    /** The time before and after the burst, in milliseconds. */
    private static final long NORMAL_MILLIS = 10_000;

    private static final int STEPS = 2;

    private static final int MEAN_TASKS = 20;

    private static final double MEAN_TASK_MILLIS = 2430;

    /** By which share the tasks of a step deviate from their mean run time at most. */
    private static final double TASK_SPREAD = 0.2;

    /**
     * Generates the jobs of a run.
     *
     * @param seed the seed
     * @return the jobs, in the order of arrival
     */
    List<SlotJob> generate(long seed) {
        Random random = new Random(seed);
        List<SlotJob> jobs = new ArrayList<>();
        double meanWork = STEPS * MEAN_TASKS * MEAN_TASK_MILLIS;
        double capacityRate = SLOTS / meanWork;
        double now = 0;
        long end = 2 * NORMAL_MILLIS + burstMillis;
        while (true) {
            boolean burst = now >= NORMAL_MILLIS && now < NORMAL_MILLIS + burstMillis;
            double rate = capacityRate * (burst ? burstLoad : NORMAL_LOAD);
            now += -Math.log(1 - random.nextDouble()) / rate;
            if (now >= end) {
                return jobs;
            }
            jobs.add(newJob(JobId.parse("job-" + jobs.size()), Math.round(now), random));
        }
    }

    private SlotJob newJob(JobId id, long arrivalMillis, Random random) {
        long[][] runMillis = new long[STEPS][];
        long[] estimates = new long[STEPS];
        double taskMillis = MEAN_TASK_MILLIS * deviate(0.5, random);
        for (int step = 0; step < STEPS; step++) {
            runMillis[step] = new long[(int) Math.round(MEAN_TASKS * deviate(0.5, random))];
            for (int task = 0; task < runMillis[step].length; task++) {
                runMillis[step][task] = Math.round(taskMillis * deviate(TASK_SPREAD, random));
            }
            estimates[step] = Math.round(taskMillis * deviate(estimateError, random));
        }
        return new SlotJob(id, arrivalMillis, runMillis, estimates);
    }

    /** Draws a factor between one minus a share and one plus that share. */
    private static double deviate(double share, Random random) {
        return 1 + share * (2 * random.nextDouble() - 1);
    }
}
