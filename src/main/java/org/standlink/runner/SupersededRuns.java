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
 * The runs that a worker rejected as superseded: each has ended, was stopped before it started, or
 * has a lower number than another run of its task that did. The next list of the worker shows
 * which.
 *
 * <p>{@code SupersededRuns} is mutable and not thread-safe.
 */
final class SupersededRuns {

    /** When each run was rejected, on the agent's clock, in milliseconds. */
    private final Map<RunId, Long> rejectedAt = new LinkedHashMap<>();

    /**
     * Adds a run that was rejected.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     */
    void add(RunId run, long now) {
        rejectedAt.put(run, now);
    }

    /** Removes all runs. */
    void clear() {
        rejectedAt.clear();
    }

    /**
     * Removes the runs that are gone without a recorded end: a list that was requested after they
     * were rejected contains neither them nor their ends. An earlier list may lack an end that has
     * been added since.
     *
     * @param reportedRuns the lists of the worker
     * @param requestedAt when they were requested, on the agent's clock, in milliseconds
     * @return the runs
     */
    List<RunId> removeGone(ReportedRuns reportedRuns, long requestedAt) {
        rejectedAt
                .keySet()
                .removeIf(run -> reportedRuns.hasEnded(run) || reportedRuns.isRunning(run));
        List<RunId> gone = new ArrayList<>();
        rejectedAt.forEach(
                (run, at) -> {
                    if (requestedAt >= at) {
                        gone.add(run);
                    }
                });
        gone.forEach(rejectedAt::remove);
        return gone;
    }
}
