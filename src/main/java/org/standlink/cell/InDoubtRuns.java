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

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.standlink.Incarnation;
import org.standlink.job.RunId;

/**
 * The runs that the next incarnation of a worker under the same id may still start, since the
 * outcome of a start call is unknown.
 *
 * <p>An agent reports such a run as long as the call may be carried out. The reports of an earlier
 * agent process are retained for the same time, since the current process does not know its calls.
 *
 * <p>{@code InDoubtRuns} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class InDoubtRuns {

    /** Marks a time that is too long ago for a call to be carried out. */
    private static final long EXPIRED = -1;

    /** When each agent process last reported a run, on the leader's clock. */
    private final Map<Incarnation, Map<RunId, Long>> reports = new HashMap<>();

    /** When an agent process was replaced that may not have reported its calls for a run. */
    private final Map<RunId, Long> unreported = new HashMap<>();

    /** The runs that stayed assigned after the end of the lease. */
    private final Set<RunId> retained = new HashSet<>();

    /**
     * Records the runs in a report.
     *
     * @param agent the incarnation of the reporting agent
     * @param reported the runs
     * @param now the time on the leader's clock, in milliseconds
     */
    void update(Incarnation agent, Collection<RunId> reported, long now) {
        reports.remove(agent);
        reports.values()
                .forEach(
                        runs ->
                                runs.values()
                                        .removeIf(
                                                at -> now - at >= CellTimes.START_IN_DOUBT_MILLIS));
        reports.values().removeIf(Map::isEmpty);
        // The time stays, so that agents that report in turn do not extend it.
        unreported.replaceAll(
                (run, at) -> now - at >= CellTimes.START_IN_DOUBT_MILLIS ? EXPIRED : at);
        if (!reported.isEmpty()) {
            Map<RunId, Long> runs = new HashMap<>();
            reported.forEach(run -> runs.put(run, now));
            reports.put(agent, runs);
        }
    }

    /**
     * Records that another agent process reports the worker than before. The earlier one may have
     * sent start calls that it has not reported.
     *
     * @param assigned the tasks whose last runs it may have been ordered to start
     * @param now the time on the leader's clock, in milliseconds
     */
    void agentChanged(Collection<TaskEntry> assigned, long now) {
        assigned.stream()
                .filter(task -> !task.isListed())
                .forEach(task -> unreported.putIfAbsent(task.getRun(), now));
    }

    /**
     * Records that a run stays assigned after the end of its lease.
     *
     * @param run the run
     * @return false if this has been recorded before
     */
    boolean markRetained(RunId run) {
        return retained.add(run);
    }

    /**
     * Checks whether the next incarnation may still start a run.
     *
     * @param run the run
     * @return true if the outcome of a start call is unknown
     */
    boolean contains(RunId run) {
        return unreported.getOrDefault(run, EXPIRED) != EXPIRED
                || reports.values().stream().anyMatch(runs -> runs.containsKey(run));
    }
}
