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
 * Decides how long an agent waits between two reports to its leader.
 *
 * <p>This class has static methods only.
 */
final class ReportInterval {

    /** The time between two reports without news, in milliseconds; leases last twelve of them. */
    static final long REGULAR_MILLIS = 500;

    /**
     * The time between two reports while a lease is about to end, in milliseconds. The runs of a
     * worker without a lease are lost, with what they have done since their last checkpoint, and a
     * leader that has found its store again grants one with the next report; a leader of many
     * agents would be crowded by more of them.
     */
    static final long URGENT_MILLIS = 200;

    /** How long before its end a lease is about to end, in milliseconds. */
    private static final long BEFORE_END_MILLIS = 1000;

    /** How long after its end a lease is still asked for as often, in milliseconds. */
    private static final long AFTER_END_MILLIS = 2000;

    /** The pause after a report that was not answered, in milliseconds; connecting takes less. */
    static final long RETRY_MILLIS = 50;

    /**
     * The pause after a report to a leader that still reads its state, in milliseconds; without it,
     * the worker's tasks wait for the next heartbeat, 250 on average.
     */
    static final long LOADING_STATE_MILLIS = 60;

    /**
     * How long a leader that grants no lease may have had no store to be taken for one that still
     * reads its state, in milliseconds.
     */
    private static final long MOST_READING_MILLIS = 2000;

    private ReportInterval() {}

    // -----------------------------------------------------------------------
    /**
     * Tells how long after the last report the next one is due without news.
     *
     * @param leaseEnds when the lease of each worker ends, on the agent's clock, in milliseconds
     * @param now the time on the agent's clock, in milliseconds
     * @return the time in milliseconds
     */
    static long getIntervalMillis(Collection<Long> leaseEnds, long now) {
        boolean urgent =
                leaseEnds.stream()
                        .mapToLong(end -> end - now)
                        .anyMatch(left -> left < BEFORE_END_MILLIS && left > -AFTER_END_MILLIS);
        return urgent ? URGENT_MILLIS : REGULAR_MILLIS;
    }

    /**
     * Checks whether the leader still reads its state, by its answer to a report.
     *
     * @param answer the answer, null if there was none
     * @return true if so, and it is worth reporting again soon
     */
    static boolean isLoadingState(Message answer) {
        return answer instanceof AgentGrant grant
                && grant.leaseMillis() == 0
                && grant.storeSilentMillis() < MOST_READING_MILLIS;
    }
}
