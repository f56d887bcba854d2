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
import java.util.List;
import org.standlink.job.RunId;
import org.standlink.wire.StartRefusal;

/**
 * The runs that never started, or ended without a recorded end, and that have not been reported to
 * the leader yet.
 *
 * <p>{@code ReleasedRuns} is mutable and not thread-safe.
 */
final class ReleasedRuns {

    /** The refused starts. */
    private final List<StartRefusal> refused = new ArrayList<>();

    /** The runs that are gone without a recorded end. */
    private final List<RunId> gone = new ArrayList<>();

    /**
     * Adds a run whose start the worker refused.
     *
     * @param refusal the refusal
     */
    void addRefused(StartRefusal refusal) {
        refused.add(refusal);
    }

    /**
     * Adds a run that is gone without a recorded end.
     *
     * @param run the run
     */
    void addGone(RunId run) {
        gone.add(run);
    }

    /**
     * Checks whether a run has yet to be reported to the leader.
     *
     * @param run the run
     * @return true if it has
     */
    boolean contains(RunId run) {
        return gone.contains(run)
                || refused.stream().anyMatch(refusal -> refusal.run().equals(run));
    }

    /**
     * Gets the refused starts.
     *
     * @return the refusals
     */
    List<StartRefusal> getRefused() {
        return List.copyOf(refused);
    }

    /**
     * Gets the runs that are gone without a recorded end.
     *
     * @return the runs
     */
    List<RunId> getGone() {
        return List.copyOf(gone);
    }

    /**
     * Removes what the leader has acknowledged.
     *
     * @param reportedRefused the refusals
     * @param reportedGone the runs that are gone
     */
    void removeReported(List<StartRefusal> reportedRefused, List<RunId> reportedGone) {
        refused.removeAll(reportedRefused);
        gone.removeAll(reportedGone);
    }
}
