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

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.standlink.Fence;
import org.standlink.job.RunEnd;
import org.standlink.job.RunProgress;

/**
 * The runs that an incarnation of a worker listed last, and which of its ends have been recorded.
 *
 * <p>{@code RunListTracker} is mutable and not thread-safe; it is confined to the agent's event
 * loop.
 */
final class RunListTracker {

    /**
     * The maximum number of ends that a worker lists at once; a list of this size may be
     * incomplete.
     */
    static final int MAX_LISTED_ENDS = 500;

    /** The runs that the worker listed last as running. */
    private List<RunProgress> running = List.of();

    /** The unrecorded ends that the worker has listed. */
    private List<RunEnd> ended = List.of();

    /** Whether the lists were sent by the worker and may still be valid. */
    private boolean known;

    /** Whether the lists are complete. */
    private boolean complete;

    /** The fence under which the lists were requested. */
    private Fence requestedUnder = Fence.NONE;

    /** The number of the last recorded end. */
    private long recordedEnd;

    /** The number of the first end in the last list; {@link Long#MAX_VALUE} if it had none. */
    private long firstListedEnd = Long.MAX_VALUE;

    /**
     * Updates the lists from an answer of the worker.
     *
     * @param result the answer to a call that was carried out
     * @param sentFence the fence under which the call was sent
     * @return false if lists that were requested under a higher fence are already known
     */
    boolean update(RenewalResult result, Fence sentFence) {
        if (known && requestedUnder.isAfter(sentFence)) {
            return false;
        }
        running = result.running();
        firstListedEnd =
                result.ended().stream().mapToLong(RunEnd::number).min().orElse(Long.MAX_VALUE);
        ended = filterUnrecorded(mergeEnds(ended, result.ended()));
        complete = result.ended().size() < MAX_LISTED_ENDS;
        requestedUnder = sentFence;
        known = true;
        return true;
    }

    /**
     * Clears the lists of an unreachable worker whose runs have ended; it will list again what it
     * knows.
     *
     * @param reachable whether the worker answered the last call, so that its lists are valid
     */
    void clearUnlessReachable(boolean reachable) {
        if (!reachable) {
            running = List.of();
            ended = List.of();
            known = false;
        }
    }

    /**
     * Records up to which end the ends have been recorded.
     *
     * @param number the number of the last recorded end
     * @return false if that was already known
     */
    boolean advanceRecordedEnd(long number) {
        boolean advanced = number > recordedEnd;
        if (advanced) {
            recordedEnd = number;
            ended = filterUnrecorded(ended);
        }
        return advanced;
    }

    /**
     * Adds the ends that are listed now to those that were listed before. A renewal that was meant
     * for a former incarnation of the worker may make it discard ends that are not recorded yet.
     */
    private static List<RunEnd> mergeEnds(List<RunEnd> before, List<RunEnd> listed) {
        Map<Long, RunEnd> ends = new TreeMap<>();
        before.forEach(end -> ends.put(end.number(), end));
        listed.forEach(end -> ends.put(end.number(), end));
        return List.copyOf(ends.values());
    }

    private List<RunEnd> filterUnrecorded(List<RunEnd> listed) {
        return listed.stream().filter(end -> end.number() > recordedEnd).toList();
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the lists are complete and were requested under a fence, so that the worker
     * refuses all orders of earlier fences.
     *
     * @param fence the fence
     * @return true if so
     */
    boolean isCompleteUnder(Fence fence) {
        return known && complete && requestedUnder.equals(fence);
    }

    /**
     * Checks whether the lists were sent by the worker and may still be valid.
     *
     * @return true if so
     */
    boolean isKnown() {
        return known;
    }

    /**
     * Gets the runs that the worker listed last as running.
     *
     * @return the runs
     */
    List<RunProgress> getRunning() {
        return running;
    }

    /**
     * Gets the unrecorded ends that the worker has listed.
     *
     * @return the ends
     */
    List<RunEnd> getEnded() {
        return ended;
    }

    /**
     * Gets the number of the last recorded end.
     *
     * @return the number
     */
    long getRecordedEnd() {
        return recordedEnd;
    }

    /**
     * Gets the number up to which the worker may discard its ends. Ends are acknowledged only while
     * the worker lists them: a delayed call may reach the next incarnation of the worker under the
     * same id, whose ends have the same numbers.
     *
     * @return the number of the last recorded end, 0 if the worker lists no recorded end
     */
    long getEndToAcknowledge() {
        return firstListedEnd <= recordedEnd ? recordedEnd : 0;
    }

    /**
     * Counts the ends that the worker lists although they are recorded.
     *
     * @return the number of ends
     */
    int countEndsToAcknowledge() {
        return (int) Math.max(0, recordedEnd - firstListedEnd + 1);
    }
}
