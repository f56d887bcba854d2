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
import org.standlink.Fence;
import org.standlink.job.RunEnd;
import org.standlink.job.RunProgress;

/**
 * What one life of a worker said of its runs, and which of its ends have been recorded.
 *
 * <p>{@code RunListTracker} is mutable and not thread-safe; the agent's loop owns it.
 */
final class RunListTracker {

    /** How many ends a worker lists at once; a longer list may leave one out. */
    static final int MAX_LISTED_ENDS = 500;

    /** What runs, as the worker said last. */
    private List<RunProgress> running = List.of();

    /** The ends that have not been recorded, as the worker said last. */
    private List<RunEnd> ended = List.of();

    /** Whether the lists are the worker's own and may hold still. */
    private boolean known;

    /** Whether the lists leave nothing out. */
    private boolean whole;

    /** The fence under which the lists were asked for. */
    private Fence askedUnder = Fence.NONE;

    /** The last end that was recorded. */
    private long recordedEnd;

    /** The number of the first end that the worker listed last; {@link Long#MAX_VALUE} if none. */
    private long firstListedEnd = Long.MAX_VALUE;

    /**
     * Takes what the worker said.
     *
     * @param result the answer to a call that was done
     * @param sentFence the fence under which it was asked
     * @return false if lists that were asked for under a higher fence are known already
     */
    boolean update(RenewalResult result, Fence sentFence) {
        if (known && askedUnder.isAfter(sentFence)) {
            return false;
        }
        running = result.running();
        firstListedEnd =
                result.ended().stream().mapToLong(RunEnd::number).min().orElse(Long.MAX_VALUE);
        ended = unrecorded(result.ended());
        whole = result.ended().size() < MAX_LISTED_ENDS;
        askedUnder = sentFence;
        known = true;
        return true;
    }

    /**
     * Forgets the lists of a silent worker whose runs are over; it will say anew what it knows.
     *
     * @param reachable whether the worker answered the last call, so that its lists hold
     */
    void clearUnlessReachable(boolean reachable) {
        if (!reachable) {
            running = List.of();
            ended = List.of();
            known = false;
        }
    }

    /**
     * Takes note of the ends that have been recorded.
     *
     * @param number the number of the last of them
     * @return false if that was known
     */
    boolean advanceRecordedEnd(long number) {
        boolean newer = number > recordedEnd;
        if (newer) {
            recordedEnd = number;
            ended = unrecorded(ended);
        }
        return newer;
    }

    private List<RunEnd> unrecorded(List<RunEnd> listed) {
        return listed.stream().filter(end -> end.number() > recordedEnd).toList();
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the lists leave nothing out and were asked for under a fence, so that the
     * worker refuses all that was ordered under older ones.
     *
     * @param fence the fence
     * @return true if so
     */
    boolean isCompleteUnder(Fence fence) {
        return known && whole && askedUnder.equals(fence);
    }

    /**
     * Checks whether the lists are the worker's own and may hold still.
     *
     * @return true if so
     */
    boolean isKnown() {
        return known;
    }

    /**
     * Gets what runs.
     *
     * @return the runs, as the worker said last
     */
    List<RunProgress> getRunning() {
        return running;
    }

    /**
     * Gets the ends that have not been recorded.
     *
     * @return the ends, as the worker said last
     */
    List<RunEnd> getEnded() {
        return ended;
    }

    /**
     * Gets the last end that was recorded.
     *
     * @return its number
     */
    long getRecordedEnd() {
        return recordedEnd;
    }

    /**
     * Gets up to which end the worker is to forget its ends. It is told only while it lists such
     * ends: a call that comes late may reach the worker's next incarnation under the same id, whose
     * ends have the same numbers.
     *
     * @return the number of the last recorded end, 0 if the worker lists none that is recorded
     */
    long getEndToAcknowledge() {
        return firstListedEnd <= recordedEnd ? recordedEnd : 0;
    }
}
