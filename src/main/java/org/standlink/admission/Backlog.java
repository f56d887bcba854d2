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

/**
 * The work that waits and runs on the workers of a service.
 *
 * <p>Implementations are snapshots; they need not be thread-safe.
 */
public interface Backlog {

    /**
     * Checks whether the workers have been reported for long enough for a prediction.
     *
     * @return false if nothing may be refused on the ground of this backlog
     */
    boolean isKnown();

    /**
     * Checks whether free capacity suffices for the tasks that a new job starts with.
     *
     * @param job the job
     * @return true if so
     */
    boolean hasRoom(JobRequest job);

    /**
     * Predicts when the first task of a new job starts, after the work of this and more urgent
     * priorities that is ahead of it.
     *
     * @param job the job
     * @param countLate whether jobs that will be late count as ahead of it
     * @return the time from now, in milliseconds; 0 if the job need not wait, or if no prediction
     *     is possible
     */
    double predictFirstStartMillis(JobRequest job, boolean countLate);

    /**
     * Predicts when the last task of a new job starts.
     *
     * @param job the job
     * @param countLate whether jobs that will be late count as ahead of it
     * @return the time from now, in milliseconds
     */
    double predictLastStartMillis(JobRequest job, boolean countLate);

    /**
     * Gets the processors available to a kind of tasks.
     *
     * @param bestEffort whether the tasks use only processors that others leave idle
     * @return the processors, in thousandths of a core
     */
    double getAvailableMilliCores(boolean bestEffort);
}
