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
package org.standlink.runner;

import java.util.Collection;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.Message;

/**
 * The interval between two reports of an agent to its leader.
 *
 * <p>This class has static methods only.
 */
final class ReportInterval {

    /**
     * The interval between two reports without changes, in milliseconds; a lease lasts twelve
     * intervals.
     */
    static final long REGULAR_MILLIS = 500;

    /**
     * The interval between two reports while a lease is about to expire, in milliseconds. The runs
     * of a worker without a lease are lost, with their progress since their last checkpoint, and a
     * leader that has reached its store again grants a lease with the next report. A shorter
     * interval would overload a leader of many agents.
     */
    static final long URGENT_MILLIS = 200;

    /** How long before its end a lease is about to expire, in milliseconds. */
    private static final long URGENT_BEFORE_END_MILLIS = 1000;

    /** How long after the end of a lease reports remain frequent, in milliseconds. */
    private static final long URGENT_AFTER_END_MILLIS = 2000;

    /** The delay after a report that was not answered, in milliseconds; connecting takes less. */
    static final long RETRY_MILLIS = 50;

    /**
     * The delay after a report to a leader that is loading its state, in milliseconds. Without it
     * the worker's tasks would wait for the next regular report, 250 ms on average.
     */
    static final long LOADING_STATE_MILLIS = 60;

    /**
     * For how long a leader that grants no lease may have been without its store to be taken for
     * one that is loading its state, in milliseconds.
     */
    private static final long MAX_LOADING_STATE_MILLIS = 2000;

    private ReportInterval() {}

    // -----------------------------------------------------------------------
    /**
     * Gets the time after the last report at which the next one is due if nothing changes.
     *
     * @param leaseEnds the end of each worker's lease, on the agent's clock, in milliseconds
     * @param now the time on the agent's clock, in milliseconds
     * @return the interval in milliseconds
     */
    static long getIntervalMillis(Collection<Long> leaseEnds, long now) {
        boolean urgent =
                leaseEnds.stream()
                        .mapToLong(end -> end - now)
                        .anyMatch(
                                remaining ->
                                        remaining < URGENT_BEFORE_END_MILLIS
                                                && remaining > -URGENT_AFTER_END_MILLIS);
        return urgent ? URGENT_MILLIS : REGULAR_MILLIS;
    }

    /**
     * Checks by the answer to a report whether the leader is still loading its state.
     *
     * @param answer the answer, null if there was none
     * @return true if so, and the next report should follow soon
     */
    static boolean isLoadingState(Message answer) {
        return answer instanceof AgentGrant grant
                && grant.leaseMillis() == 0
                && grant.storeSilentMillis() < MAX_LOADING_STATE_MILLIS;
    }
}
