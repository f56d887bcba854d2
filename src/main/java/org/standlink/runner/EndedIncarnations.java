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

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;

/**
 * The incarnations of workers that have ended and may still be referred to, by a late heartbeat or
 * in a report.
 *
 * <p>{@code EndedIncarnations} is mutable and not thread-safe; it is confined to the agent's event
 * loop.
 */
final class EndedIncarnations {

    /**
     * How long an ended incarnation is remembered, in milliseconds. A later heartbeat of it makes
     * the agent call the worker again to find out which incarnation answers.
     */
    private static final long RETENTION_MILLIS = 60_000;

    /** The maximum number of remembered incarnations: one id may be reused thousands of times. */
    private static final int MAX_REMEMBERED = 64;

    /**
     * When the end of each incarnation was detected, on the agent's clock in milliseconds, oldest
     * first.
     */
    private final Map<WorkerIncarnation, Long> endTimes = new LinkedHashMap<>();

    /** The ids under which another incarnation has answered that is not yet known. */
    private final Set<WorkerId> unidentified = new HashSet<>();

    /**
     * Adds an incarnation that has ended.
     *
     * @param incarnation the incarnation
     * @param now the time on the agent's clock, in milliseconds
     * @return false if it was already known to have ended
     */
    boolean add(WorkerIncarnation incarnation, long now) {
        endTimes.values().removeIf(at -> now - at > RETENTION_MILLIS);
        boolean added = endTimes.putIfAbsent(incarnation, now) == null;
        if (endTimes.size() > MAX_REMEMBERED) {
            endTimes.remove(endTimes.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Checks whether an incarnation is known to have ended.
     *
     * @param incarnation the incarnation
     * @return true if it has ended
     */
    boolean contains(WorkerIncarnation incarnation) {
        return endTimes.containsKey(incarnation);
    }

    /**
     * Checks whether an ended incarnation of a worker has reported its start time.
     *
     * @param id the id of the worker
     * @return true if one has
     */
    boolean hasKnownStartTime(WorkerId id) {
        return endTimes.keySet().stream()
                .anyMatch(
                        incarnation ->
                                incarnation.hasStartTime() && incarnation.getId().equals(id));
    }

    /**
     * Records that an unknown incarnation answers under an id. Ended incarnations of that id are
     * not reported until it is identified: only its lists show the outcome of the runs.
     *
     * @param id the id
     */
    void awaitIdentification(WorkerId id) {
        unidentified.add(id);
    }

    /**
     * Records that the incarnation that answers under an id is known.
     *
     * @param id the id
     */
    void identified(WorkerId id) {
        unidentified.remove(id);
    }

    /**
     * Lists the ended incarnations that are to be reported to the leader.
     *
     * @return the incarnations
     */
    List<WorkerIncarnation> list() {
        return endTimes.keySet().stream()
                .filter(incarnation -> !unidentified.contains(incarnation.getId()))
                .toList();
    }
}
