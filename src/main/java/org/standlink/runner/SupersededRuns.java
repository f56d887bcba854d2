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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.job.RunId;

/**
 * The runs that a worker turned away as old ones: each has ended, was stopped before it began, or
 * stands below another that did. The worker's next list tells which.
 *
 * <p>{@code SupersededRuns} is mutable and not thread-safe.
 */
final class SupersededRuns {

    /** When each was turned away, on the agent's clock, in milliseconds. */
    private final Map<RunId, Long> turnedAwayAt = new LinkedHashMap<>();

    /**
     * Takes note of a run that was turned away.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     */
    void add(RunId run, long now) {
        turnedAwayAt.put(run, now);
    }

    /** Forgets all. */
    void clear() {
        turnedAwayAt.clear();
    }

    /**
     * Takes the runs that are gone without an end: a list that was asked for after they were turned
     * away names neither them nor their ends. An earlier list may lack an end that has come since.
     *
     * @param lists what the worker said
     * @param askedAt when it was asked, on the agent's clock, in milliseconds
     * @return the runs
     */
    List<RunId> removeGone(ReportedRuns lists, long askedAt) {
        turnedAwayAt.keySet().removeIf(run -> lists.hasEnded(run) || lists.isRunning(run));
        List<RunId> gone = new ArrayList<>();
        turnedAwayAt.forEach(
                (run, at) -> {
                    if (askedAt >= at) {
                        gone.add(run);
                    }
                });
        gone.forEach(turnedAwayAt::remove);
        return gone;
    }
}
