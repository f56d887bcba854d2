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
 * Whether the best-effort tasks of a service compete for workers.
 *
 * <p>{@code ContentionCondition} is mutable and not thread-safe; it is confined to the leader's
 * event loop.
 */
public final class ContentionCondition {

    /**
     * How long no task may wait before the condition ends, in milliseconds. Between two steps of a
     * job none of its tasks is ready until the slowest one has ended, so the waiting work vanishes
     * for a few seconds in the middle of a burst, and the order must not change back meanwhile.
     */
    public static final long HOLD_MILLIS = 3000;

    private boolean holds;

    /** When a task was last without a worker, on the leader's clock. */
    private long waitedAt;

    /**
     * Records the outcome of a scheduling round.
     *
     * @param waiting whether best-effort tasks were left without a worker
     * @param now the time on the leader's clock, in milliseconds
     * @return true if this begins or ends the condition
     */
    public boolean update(boolean waiting, long now) {
        waitedAt = waiting ? now : waitedAt;
        boolean before = holds;
        holds = waiting || holds && now - waitedAt < HOLD_MILLIS;
        return before != holds;
    }

    /**
     * Checks whether the condition holds.
     *
     * @return true if so
     */
    public boolean holds() {
        return holds;
    }
}
