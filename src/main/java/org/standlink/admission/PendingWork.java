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

import org.standlink.ordering.Timeliness;

/**
 * The work of one priority that waits and runs, of tasks that either all reserve their processors
 * or all use what others leave idle.
 *
 * <p>{@code PendingWork} is mutable and not thread-safe.
 */
final class PendingWork {

    private static final int KINDS = Timeliness.values().length;

    /** The remaining work of runs, in thousandths of a core times milliseconds. */
    private double running;

    /** The processors that runs occupy, in thousandths of a core. */
    private double runningMilliCores;

    /** The work of ready tasks by timeliness, in thousandths of a core times milliseconds. */
    private final double[] ready = new double[KINDS];

    /** The work of tasks that become ready later, in thousandths of a core times milliseconds. */
    private double later;

    /** The demand of tasks that are ready, by timeliness, in thousandths of a core. */
    private final double[] readyMilliCores = new double[KINDS];

    /** The demand of jobs admitted since the free capacity was read, in thousandths of a core. */
    private double promisedMilliCores;

    /** The sum of all work, for the mean run time. */
    private double weight;

    /** The sum of all work, each multiplied by the run time of its task. */
    private double weightedRunMillis;

    void addRunning(double milliCores, double remainingMillis, double runMillis) {
        running += milliCores * remainingMillis;
        runningMilliCores += milliCores;
        addRunTime(milliCores, runMillis);
    }

    void addWaiting(
            Timeliness timeliness, double milliCores, double runMillis, double readyInMillis) {
        if (readyInMillis > 0) {
            later += milliCores * runMillis;
        } else {
            ready[timeliness.ordinal()] += milliCores * runMillis;
            readyMilliCores[timeliness.ordinal()] += milliCores;
        }
        addRunTime(milliCores, runMillis);
    }

    void addPromise(JobRequest job) {
        promisedMilliCores += job.firstMilliCores();
    }

    void addAdmitted(JobRequest job) {
        addPromise(job);
        ready[Timeliness.ON_TIME.ordinal()] += job.work();
        readyMilliCores[Timeliness.ON_TIME.ordinal()] += job.firstMilliCores();
        weight += job.work();
        weightedRunMillis += job.work() * job.lastRunMillis();
    }

    private void addRunTime(double milliCores, double runMillis) {
        weight += milliCores * runMillis;
        weightedRunMillis += milliCores * runMillis * runMillis;
    }

    // -----------------------------------------------------------------------
    double getRunning() {
        return running;
    }

    double getPromisedMilliCores() {
        return promisedMilliCores;
    }

    /** Gets the work of ready tasks that are ahead of a new job. */
    double getReady(boolean countLate) {
        return ready[Timeliness.ON_TIME.ordinal()]
                + (countLate ? ready[Timeliness.LATE.ordinal()] : 0);
    }

    /** Gets the processors that runs occupy and that ready tasks ahead of a new job demand. */
    double getDemandMilliCores(boolean countLate) {
        return runningMilliCores
                + readyMilliCores[Timeliness.ON_TIME.ordinal()]
                + (countLate ? readyMilliCores[Timeliness.LATE.ordinal()] : 0);
    }

    double getWeight() {
        return weight;
    }

    double getWeightedRunMillis() {
        return weightedRunMillis;
    }

    /** Gets all work, including that of jobs which come after any new job. */
    double getTotal() {
        double total = running + later;
        for (double work : ready) {
            total += work;
        }
        return total;
    }
}
