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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Fence;
import org.standlink.cell.CellTimes;
import org.standlink.job.RunId;

/**
 * The start calls to one incarnation of a worker that were not answered and may still be carried
 * out.
 *
 * <p>The worker's next incarnation under the same id carries such a call out as well, until it has
 * seen a higher fence. So a run with an open start may begin after the worker has crashed, and must
 * not be started elsewhere meanwhile.
 *
 * <p>{@code OpenStarts} is mutable and not thread-safe; the agent's loop owns it.
 */
final class OpenStarts {

    /** The runs with calls that are under way or were not answered. */
    private final Map<RunId, Calls> calls = new LinkedHashMap<>();

    /** The fence of the last call that is to be barred by a higher one. */
    private Fence exceeded = Fence.NONE;

    /** The start calls for one run. */
    private static final class Calls {

        /** How many calls have been made. */
        private int made;

        /** The fence of the last call. */
        private Fence fence = Fence.NONE;

        /** When the last call was made, on the agent's clock; negative if it was answered. */
        private long pendingSince = -1;

        /** Until when an unanswered call may be carried out, on the agent's clock. */
        private long openUntil = Long.MIN_VALUE;

        boolean isOpen(long now) {
            return pendingSince >= 0 || now < openUntil;
        }
    }

    /**
     * Records a call to start a run.
     *
     * @param run the run
     * @param fence the fence under which it is made
     * @param now the time on the agent's clock, in milliseconds
     */
    void called(RunId run, Fence fence, long now) {
        calls.values().removeIf(others -> !others.isOpen(now));
        Calls ofRun = calls.computeIfAbsent(run, key -> new Calls());
        ofRun.made++;
        ofRun.fence = fence;
        ofRun.pendingSince = now;
    }

    /**
     * Records that a run had an open start when the life that it was meant for ended.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     */
    void leftOpen(RunId run, long now) {
        called(run, Fence.NONE, now);
        returned(run, false);
    }

    /**
     * Records that the last call to start a run has been answered, or that its time is up.
     *
     * @param run the run
     * @param answered whether the worker answered
     */
    void returned(RunId run, boolean answered) {
        Calls ofRun = calls.get(run);
        if (ofRun == null || ofRun.pendingSince < 0) {
            return;
        }
        if (!answered) {
            ofRun.openUntil = ofRun.pendingSince + CellTimes.OPEN_START_MILLIS;
        }
        ofRun.pendingSince = -1;
    }

    /**
     * Records what the worker has listed: the only call for a run that is listed has been carried
     * out.
     *
     * @param lists what the worker listed
     */
    void settle(WorkerLists lists) {
        calls.entrySet()
                .removeIf(
                        one ->
                                one.getValue().made == 1
                                        && (lists.isRunning(one.getKey())
                                                || lists.hasEnded(one.getKey())));
    }

    /**
     * Checks whether a call to start a run may still be carried out.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     * @return true if so
     */
    boolean contains(RunId run, long now) {
        Calls ofRun = calls.get(run);
        return ofRun != null && ofRun.isOpen(now);
    }

    /**
     * Records that a run is called for once more, so that its last call is to be barred.
     *
     * @param run the run
     * @return false if there was no call for it
     */
    boolean exceed(RunId run) {
        Calls ofRun = calls.get(run);
        if (ofRun != null) {
            exceeded = ofRun.fence;
        }
        return ofRun != null;
    }

    /**
     * Gets the fence of the last call that is to be barred.
     *
     * @return the fence, {@link Fence#NONE} if there is none
     */
    Fence getExceeded() {
        return exceeded;
    }

    /**
     * Lists the runs that calls may still start.
     *
     * @param now the time on the agent's clock, in milliseconds
     * @return the runs
     */
    List<RunId> list(long now) {
        return calls.entrySet().stream()
                .filter(one -> one.getValue().isOpen(now))
                .map(Map.Entry::getKey)
                .toList();
    }
}
