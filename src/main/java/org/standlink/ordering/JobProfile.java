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
package org.standlink.ordering;

/**
 * What the order of jobs depends on.
 *
 * <p>{@code JobProfile} is thread-safe and immutable.
 *
 * @param queue the name of the queue
 * @param acceptedAt when the job was accepted, on the leader's clock, in milliseconds
 * @param targetMillis the time from acceptance to completion that the queue promises, by the
 *     caller's estimate of the critical path, in milliseconds
 * @param pathMillis the estimated critical path of all steps, in milliseconds; 0 without estimates
 * @param remainingPathMillis the estimated critical path of the steps that are not done, in
 *     milliseconds
 * @param work the estimated work of all tasks, in thousandths of a core times milliseconds; 0
 *     without estimates
 * @param remainingWork the estimated work of the tasks that are not done, in the same unit
 * @param started whether a run of any task was ever ordered
 * @param unbounded whether the job has no completion to be in time for, because its tasks run until
 *     it is cancelled or start at given times
 */
public record JobProfile(
        String queue,
        long acceptedAt,
        double targetMillis,
        double pathMillis,
        double remainingPathMillis,
        double work,
        double remainingWork,
        boolean started,
        boolean unbounded) {

    /** The minimum share of the work that counts as left, which bounds the value per work. */
    static final double MIN_REMAINING_SHARE = 0.02;

    /**
     * Gets the share of the work that is left, by the caller's estimates.
     *
     * @return the share, 0.02 to 1; 1 without estimates
     */
    public double remainingShare() {
        double share = work == 0 ? 1 : remainingWork / work;
        return Math.max(MIN_REMAINING_SHARE, share);
    }
}
