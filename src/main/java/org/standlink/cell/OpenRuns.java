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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.standlink.Incarnation;
import org.standlink.job.RunId;

/**
 * The runs that the next incarnation of a worker under the same id may still start, as agents have
 * reported.
 *
 * <p>An agent lists such a run for as long as a call for it may be carried out. What an earlier
 * process of the agent listed is remembered for as long, since the present one does not know it.
 *
 * <p>{@code OpenRuns} is mutable and not thread-safe; the leader's loop owns it.
 */
final class OpenRuns {

    /** The runs. */
    private final Map<RunId, Report> runs = new LinkedHashMap<>();

    /** The runs that have been kept placed after their lease. */
    private final Set<RunId> kept = new HashSet<>();

    /** Which agent listed a run last, and when, on the leader's clock. */
    private record Report(Incarnation agent, long at) {}

    /**
     * Records what an agent has reported.
     *
     * @param agent the run of the agent
     * @param listed the runs that it lists
     * @param now the time on the leader's clock, in milliseconds
     */
    void reported(Incarnation agent, Collection<RunId> listed, long now) {
        runs.values()
                .removeIf(
                        last ->
                                last.agent().equals(agent)
                                        || now - last.at() >= CellTimes.OPEN_START_MILLIS);
        listed.forEach(run -> runs.put(run, new Report(agent, now)));
    }

    /**
     * Records that an agent is gone that may have called for runs without having reported it.
     *
     * @param agent the run of the agent
     * @param told the tasks whose last runs it was told to start
     * @param now the time on the leader's clock, in milliseconds
     */
    void agentGone(Incarnation agent, Collection<TaskEntry> told, long now) {
        told.stream()
                .filter(task -> !task.isListed())
                .forEach(task -> runs.put(task.getRun(), new Report(agent, now)));
    }

    /**
     * Records that a run stays placed though its lease is over.
     *
     * @param run the run
     * @return false if that is known
     */
    boolean keep(RunId run) {
        return kept.add(run);
    }

    /**
     * Checks whether a run is among them.
     *
     * @param run the run
     * @return true if so
     */
    boolean contains(RunId run) {
        return runs.containsKey(run);
    }
}
