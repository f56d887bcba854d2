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
 * The runs that are over without an end, or never began, and of which the leader has not been told.
 *
 * <p>{@code ReleasedRuns} is mutable and not thread-safe.
 */
final class ReleasedRuns {

    /** What was refused. */
    private final List<StartRefusal> refused = new ArrayList<>();

    /** What is gone without an end. */
    private final List<RunId> gone = new ArrayList<>();

    /**
     * Takes note that the worker refused a run.
     *
     * @param refusal the refusal
     */
    void addRefused(StartRefusal refusal) {
        refused.add(refusal);
    }

    /**
     * Takes note that a run is gone without an end.
     *
     * @param run the run
     */
    void addGone(RunId run) {
        gone.add(run);
    }

    /**
     * Checks whether the leader has yet to be told of a run.
     *
     * @param run the run
     * @return true if so
     */
    boolean contains(RunId run) {
        return gone.contains(run)
                || refused.stream().anyMatch(refusal -> refusal.run().equals(run));
    }

    /**
     * Gets what was refused.
     *
     * @return the refusals
     */
    List<StartRefusal> getRefused() {
        return List.copyOf(refused);
    }

    /**
     * Gets what is gone without an end.
     *
     * @return the runs
     */
    List<RunId> getGone() {
        return List.copyOf(gone);
    }

    /**
     * Takes note that the leader has been told.
     *
     * @param toldRefused the refusals
     * @param toldGone the runs that are gone
     */
    void removeReported(List<StartRefusal> toldRefused, List<RunId> toldGone) {
        refused.removeAll(toldRefused);
        gone.removeAll(toldGone);
    }
}
