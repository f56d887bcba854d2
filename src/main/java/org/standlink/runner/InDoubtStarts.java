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
import org.standlink.Fence;
import org.standlink.cell.CellTimes;
import org.standlink.job.RunId;

/**
 * The start calls to a worker whose outcome is unknown.
 *
 * <p>Such a call may be carried out late, and not only by the incarnation for which it was meant:
 * the next incarnation under the same id accepts it as well until it has received a higher fence. A
 * run with such a call must therefore not be started elsewhere while its worker does not respond.
 *
 * <p>{@code InDoubtStarts} is mutable and not thread-safe; it is confined to the agent's event
 * loop.
 */
final class InDoubtStarts {

    private final Map<RunId, StartCalls> callsByRun = new LinkedHashMap<>();

    /** The highest fence of a call that was repeated before its outcome was known. */
    private Fence repeatedFence = Fence.NONE;

    /** The start calls for one run that may have started it. */
    private static final class StartCalls {

        private int count;

        /** The fence of the last call. */
        private Fence lastFence = Fence.NONE;

        /** When each call in progress would cease to be in doubt, on the agent's clock. */
        private final List<Long> inProgressUntil = new ArrayList<>();

        /** When the unanswered calls cease to be in doubt, on the agent's clock. */
        private long unansweredUntil;

        boolean isInDoubt(long now) {
            return now < unansweredUntil || inProgressUntil.stream().anyMatch(until -> now < until);
        }
    }

    /**
     * Records that a start call is sent.
     *
     * @param run the run
     * @param fence the fence under which it is sent
     * @param now the time on the agent's clock, in milliseconds
     * @return the time at which the call ceases to be in doubt, for {@link #endCall}
     */
    long beginCall(RunId run, Fence fence, long now) {
        removeResolved(now);
        long until = now + CellTimes.START_IN_DOUBT_MILLIS;
        StartCalls calls = callsByRun.computeIfAbsent(run, key -> new StartCalls());
        calls.count++;
        calls.lastFence = fence;
        calls.inProgressUntil.add(until);
        return until;
    }

    /**
     * Records the outcome of a start call.
     *
     * @param run the run
     * @param until the value that {@link #beginCall} returned
     * @param outcome the outcome
     */
    void endCall(RunId run, long until, CallResult.Kind outcome) {
        StartCalls calls = callsByRun.get(run);
        if (calls == null || !calls.inProgressUntil.remove(Long.valueOf(until))) {
            return;
        }
        if (outcome == CallResult.Kind.UNKNOWN) {
            calls.unansweredUntil = Math.max(calls.unansweredUntil, until);
        } else if (outcome != CallResult.Kind.DONE) {
            calls.count--;
        }
    }

    /**
     * Resolves the runs that were called only once and are listed, as that call was carried out.
     *
     * @param reportedRuns the lists of the worker
     */
    void resolveListed(ReportedRuns reportedRuns) {
        callsByRun
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().count == 1
                                        && (reportedRuns.isRunning(entry.getKey())
                                                || reportedRuns.hasEnded(entry.getKey())));
    }

    /**
     * Requires a fence above that of the earlier calls for a run, which will be called again.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     * @return false if no earlier call may still be carried out
     */
    boolean requireHigherFence(RunId run, long now) {
        if (!contains(run, now)) {
            return false;
        }
        Fence lastFence = callsByRun.get(run).lastFence;
        if (lastFence.isAfter(repeatedFence)) {
            repeatedFence = lastFence;
        }
        return true;
    }

    /**
     * Gets the highest fence of a call that was repeated. A higher one makes the worker's next
     * incarnation refuse the call from its first contact on.
     *
     * @return the fence, {@link Fence#NONE} if no call was repeated
     */
    Fence getRepeatedFence() {
        return repeatedFence;
    }

    /**
     * Adds the calls to an incarnation that has ended.
     *
     * @param ended the calls
     * @param now the time on the agent's clock, in milliseconds
     */
    void addAll(InDoubtStarts ended, long now) {
        removeResolved(now);
        for (RunId run : ended.list(now)) {
            StartCalls calls = ended.callsByRun.get(run);
            StartCalls added = callsByRun.computeIfAbsent(run, key -> new StartCalls());
            added.count += calls.count;
            added.inProgressUntil.addAll(calls.inProgressUntil);
            added.unansweredUntil = Math.max(added.unansweredUntil, calls.unansweredUntil);
        }
    }

    /**
     * Checks whether a start call for a run may still be carried out.
     *
     * @param run the run
     * @param now the time on the agent's clock, in milliseconds
     * @return true if the outcome of a call is unknown
     */
    boolean contains(RunId run, long now) {
        StartCalls calls = callsByRun.get(run);
        return calls != null && calls.isInDoubt(now);
    }

    /**
     * Lists the runs for which a start call may still be carried out.
     *
     * @param now the time on the agent's clock, in milliseconds
     * @return the runs
     */
    List<RunId> list(long now) {
        return callsByRun.entrySet().stream()
                .filter(entry -> entry.getValue().isInDoubt(now))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void removeResolved(long now) {
        callsByRun.values().removeIf(calls -> !calls.isInDoubt(now));
    }
}
