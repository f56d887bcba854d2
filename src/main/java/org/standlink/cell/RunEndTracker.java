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

import java.util.TreeMap;
import java.util.function.Predicate;
import org.standlink.job.TaskName;

/**
 * Tracks how far the numbered ends that one incarnation of a worker lists have been handled and
 * recorded, and how far they may be acknowledged to the worker.
 *
 * <p>An acknowledged end is final: no run of its task may start afterwards. So the acknowledgement
 * of an end is withheld while an earlier start call for its task may still be carried out by a
 * later incarnation of the worker. If that happens, the end was lost with its incarnation.
 *
 * <p>{@code RunEndTracker} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class RunEndTracker {

    /**
     * The number of recorded ends from which on none is withheld: half of those that a worker lists
     * at once. With a full list, nothing could be started there.
     */
    static final int MAX_WITHHELD = 250;

    /** The number of the last handled end. */
    private long lastHandled;

    /** The number of the last end whose record is durable. */
    private long lastRecorded;

    /** The tasks whose ends are not to be acknowledged yet, by the number of the end. */
    private final TreeMap<Long, TaskName> withheld = new TreeMap<>();

    /** Whether no end may be acknowledged, of whichever task. */
    private boolean suspended;

    /** The number of the last end that could be acknowledged before the suspension. */
    private long lastBeforeSuspension;

    /**
     * Gets the number of the last handled end.
     *
     * @return the number, 0 if none
     */
    long getLastHandled() {
        return lastHandled;
    }

    /**
     * Sets the number of the last handled end.
     *
     * @param number the number
     */
    void markHandled(long number) {
        lastHandled = number;
    }

    /**
     * Gets the number of the last end whose record is durable.
     *
     * @return the number, 0 if none
     */
    long getLastRecorded() {
        return lastRecorded;
    }

    /**
     * Withholds the acknowledgement of an end, and with it of all later ones.
     *
     * @param number the number of the end
     * @param task its task
     */
    void withhold(long number, TaskName task) {
        withheld.put(number, task);
    }

    /**
     * Ends the withholding of ends.
     *
     * @param inDoubt checks whether a start call for a task may still be carried out
     */
    void releaseResolved(Predicate<TaskName> inDoubt) {
        withheld.values().removeIf(task -> !inDoubt.test(task));
    }

    /**
     * Suspends or resumes all acknowledgements. While they are suspended, an agent process that has
     * received none is not told of earlier ends either.
     *
     * @param suspend true to suspend them
     */
    void setSuspended(boolean suspend) {
        if (suspend && !suspended) {
            lastBeforeSuspension = getLastAcknowledgeable();
        }
        suspended = suspend;
    }

    /**
     * Gets the number of the last end that may be acknowledged to the worker: its record and those
     * of all earlier ones are durable, and none of them is withheld.
     *
     * @return the number, 0 if none
     */
    long getLastAcknowledgeable() {
        if (suspended && lastRecorded - lastBeforeSuspension <= MAX_WITHHELD) {
            return 0;
        }
        long before = withheld.isEmpty() ? lastRecorded : withheld.firstKey() - 1;
        boolean tooMany = lastRecorded - before > MAX_WITHHELD;
        return tooMany ? lastRecorded : Math.min(before, lastRecorded);
    }

    /**
     * Records that the records of ends are durable.
     *
     * @param number the number of the last of them
     */
    void markRecorded(long number) {
        lastRecorded = Math.max(lastRecorded, number);
    }
}
