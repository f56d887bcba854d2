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

/**
 * Tracks how far the numbered ends that one incarnation of a worker lists have been handled and
 * recorded.
 *
 * <p>{@code RunEndTracker} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class RunEndTracker {

    /** The number of the last handled end. */
    private long lastHandled;

    /** The number of the last end whose record is durable. */
    private long lastRecorded;

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
     * Records that the records of ends are durable.
     *
     * @param number the number of the last of them
     */
    void markRecorded(long number) {
        lastRecorded = Math.max(lastRecorded, number);
    }
}
