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

import org.standlink.Resources;
import org.standlink.job.StepDefinition;

/**
 * The resources that the tasks on a worker request.
 *
 * <p>{@code WorkerLoad} is not thread-safe; it is confined to the leader's event loop.
 */
final class WorkerLoad {

    /** The capacity reserved by tasks. */
    private Resources reserved = Resources.NONE;

    /** The capacity used by runs that are not assigned to the worker. */
    private Resources unexpectedUsage = Resources.NONE;

    /** The processors requested by long-running tasks. */
    private long servingMilliCores;

    /** The processors requested by all other tasks. */
    private long batchMilliCores;

    /**
     * Adjusts the load when a task is added or removed.
     *
     * @param step the step of the task
     * @param sign 1 if the task is added, -1 if it is removed
     */
    void adjust(StepDefinition step, int sign) {
        reserved =
                sign > 0
                        ? reserved.plus(step.requiredCapacity())
                        : reserved.minus(step.requiredCapacity());
        long requested = sign * step.demand().milliCores();
        if (step.longRunning()) {
            servingMilliCores += requested;
        } else {
            batchMilliCores += requested;
        }
    }

    /**
     * Sets the capacity used by runs that are not assigned to the worker.
     *
     * @param usage the capacity, which stays occupied until the runs have been stopped
     */
    void setUnexpectedUsage(Resources usage) {
        unexpectedUsage = usage;
    }

    /**
     * Gets the capacity reserved by tasks.
     *
     * @return the sum
     */
    Resources getReserved() {
        return reserved;
    }

    /**
     * Gets the capacity that is not free.
     *
     * @return the sum for tasks and for runs that are not assigned to the worker
     */
    Resources getOccupied() {
        return reserved.plus(unexpectedUsage);
    }

    /**
     * Gets the processors requested by long-running tasks.
     *
     * @return the sum, in thousandths of a core
     */
    long getServingMilliCores() {
        return servingMilliCores;
    }

    /**
     * Gets the processors requested by all other tasks, including best-effort tasks.
     *
     * @return the sum, in thousandths of a core
     */
    long getBatchMilliCores() {
        return batchMilliCores;
    }
}
