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
 * The outcome of a call to a worker.
 *
 * <p>{@code CallResult} is thread-safe and immutable.
 *
 * @param kind the kind of outcome
 * @param clockMillis the worker's clock in milliseconds, negative if the answer did not contain it
 * @param detail the worker's reason or the error, for the log
 */
public record CallResult(Kind kind, long clockMillis, String detail) {

    /** The value of {@link #clockMillis} if the worker's clock is unknown. */
    public static final long NO_CLOCK = -1;

    /** The kind of outcome of a call. */
    public enum Kind {
        /** The worker carried out the call, or had carried it out before. */
        DONE,
        /** The worker lacks free capacity; nothing was done. */
        NO_ROOM,
        /**
         * The run is not newer than one that ended or was stopped on this worker; it will never
         * start.
         */
        SUPERSEDED,
        /** The lease given in the call has already expired. */
        LEASE_PAST,
        /** The worker has received orders of a newer leader. */
        FENCED,
        /** The worker rejects the order permanently. */
        INVALID,
        /** The worker is unhealthy and did nothing. */
        UNWELL,
        /** The worker's hall is evacuated; the worker was not called. */
        EVACUATED,
        /** Another incarnation of the worker answered; the addressed one has ended. */
        OTHER_LIFE,
        /** No answer arrived: the call may have been carried out, or may be carried out later. */
        UNKNOWN
    }

    /**
     * Checks whether the next run should be placed elsewhere for a while. In an evacuated hall, a
     * leader that has not yet read of the evacuation would otherwise order it there again at once.
     *
     * @return true if the worker is unhealthy or its hall evacuated
     */
    public boolean isWorkerToBeAvoided() {
        return kind == Kind.UNWELL || kind == Kind.EVACUATED;
    }
}
