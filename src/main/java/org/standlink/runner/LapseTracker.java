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

/**
 * Tracks whether the lease of a worker has expired and whether the leader knows it.
 *
 * <p>{@code LapseTracker} is mutable and not thread-safe; it is confined to the agent's event loop.
 */
final class LapseTracker {

    /** Whether the current lapse has been recorded; reset when the worker answers. */
    private boolean recorded;

    /** Whether a recorded lapse has yet to be acknowledged by the leader. */
    private boolean unacknowledged;

    /**
     * Records that the lease has expired.
     *
     * @return false if this lapse has been recorded before
     */
    boolean recordLapse() {
        if (recorded) {
            return false;
        }
        recorded = true;
        unacknowledged = true;
        return true;
    }

    /** Records that the worker answers, so that the next lapse is a new one. */
    void reset() {
        recorded = false;
    }

    /** Records that the leader has acknowledged the report of the lapse. */
    void markAcknowledged() {
        unacknowledged = false;
    }

    /**
     * Checks whether a lapse has yet to be acknowledged by the leader; nothing is started
     * meanwhile.
     *
     * @return true if a lapse is unacknowledged
     */
    boolean isUnacknowledged() {
        return unacknowledged;
    }
}
