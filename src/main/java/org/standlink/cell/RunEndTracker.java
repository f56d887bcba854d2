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
 * How far the ends that one life of a worker lists have been handled and recorded.
 *
 * <p>{@code RunEndTracker} is mutable and not thread-safe; the leader's loop owns it.
 */
final class RunEndTracker {

    /** The last end that was handled. */
    private long handled;

    /** The last end whose record has been kept. */
    private long recorded;

    /**
     * Gets the last end that was handled.
     *
     * @return its number
     */
    long getLastHandled() {
        return handled;
    }

    /**
     * Sets the last end that was handled.
     *
     * @param number its number
     */
    void markHandled(long number) {
        handled = number;
    }

    /**
     * Gets the last end whose record has been kept.
     *
     * @return its number
     */
    long getLastRecorded() {
        return recorded;
    }

    /**
     * Takes note that the records of ends have been kept.
     *
     * @param number the number of the last of them
     */
    void markRecorded(long number) {
        recorded = Math.max(recorded, number);
    }
}
