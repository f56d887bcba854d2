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
 * What the tasks on a worker ask for.
 *
 * <p>{@code WorkerLoad} is not thread-safe; the leader's loop owns it.
 */
final class WorkerLoad {

    /** The room that tasks take. */
    private Resources taken = Resources.NONE;

    /** The room that runs take which are at work there and not placed there. */
    private Resources strayRoom = Resources.NONE;

    /** The processors that tasks ask for which run until their job is cancelled. */
    private long servingMilliCores;

    /** The processors that all other tasks ask for. */
    private long batchMilliCores;

    /**
     * Takes note of a task that comes or goes.
     *
     * @param step its step
     * @param sign 1 if it comes, -1 if it goes
     */
    void adjust(StepDefinition step, int sign) {
        taken =
                sign > 0
                        ? taken.plus(step.requiredCapacity())
                        : taken.minus(step.requiredCapacity());
        long asked = sign * step.demand().milliCores();
        if (step.longRunning()) {
            servingMilliCores += asked;
        } else {
            batchMilliCores += asked;
        }
    }

    /**
     * Sets the room of runs that are at work there and not placed there.
     *
     * @param room the room, which is theirs until they have been stopped
     */
    void setUnexpectedUsage(Resources room) {
        strayRoom = room;
    }

    /**
     * Gets the room that tasks take.
     *
     * @return the sum
     */
    Resources getReserved() {
        return taken;
    }

    /**
     * Gets the room that is not free.
     *
     * @return the sum for tasks and for runs that are not placed there
     */
    Resources getOccupied() {
        return taken.plus(strayRoom);
    }

    /**
     * Gets how many processors tasks ask for that run until their job is cancelled.
     *
     * @return the sum, in thousandths of a core
     */
    long getServingMilliCores() {
        return servingMilliCores;
    }

    /**
     * Gets how many processors all other tasks ask for, best-effort ones included.
     *
     * @return the sum, in thousandths of a core
     */
    long getBatchMilliCores() {
        return batchMilliCores;
    }
}
