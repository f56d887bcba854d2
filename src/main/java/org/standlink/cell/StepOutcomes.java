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

import java.util.HashSet;
import java.util.Set;
import org.standlink.job.WorkerIncarnation;

/**
 * The failed runs of the tasks of one step since one of them succeeded.
 *
 * <p>The tasks of a step are alike. If they fail on several workers and on none succeed, they are
 * at fault and not the workers.
 *
 * <p>{@code StepOutcomes} is not thread-safe; it is confined to the leader's event loop.
 */
final class StepOutcomes {

    /** The number of workers on which the tasks of a step have to fail to be at fault. */
    private static final int MIN_WORKERS = 2;

    private final Set<WorkerIncarnation> failedOn = new HashSet<>();

    /** The duration of the longest failed run, in milliseconds; also from before a success. */
    private long longestFailureMillis;

    /** When a run failed last, on the leader's clock. */
    private long lastFailureAt;

    /**
     * Records a failed run.
     *
     * @param worker the worker
     * @param ranMillis how long the run was listed, in milliseconds
     * @param now the time on the leader's clock
     */
    void recordFailure(WorkerIncarnation worker, long ranMillis, long now) {
        failedOn.add(worker);
        longestFailureMillis = Math.max(longestFailureMillis, ranMillis);
        lastFailureAt = now;
    }

    /** Records that a run succeeded, or lasted for longer than those that failed. */
    void recordSuccess() {
        failedOn.clear();
    }

    /**
     * Checks whether a run has failed since the last one that succeeded.
     *
     * @return true if so
     */
    boolean isSuspect() {
        return !failedOn.isEmpty();
    }

    /**
     * Checks whether the tasks fail by their own fault.
     *
     * @return true if their failures say nothing about the workers
     */
    boolean isAtFault() {
        return failedOn.size() >= MIN_WORKERS;
    }

    /**
     * Gets the number of workers on which runs have failed.
     *
     * @return the number of workers
     */
    int countWorkers() {
        return failedOn.size();
    }

    long getLongestFailureMillis() {
        return longestFailureMillis;
    }

    long getLastFailureAt() {
        return lastFailureAt;
    }
}
