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
 * What a worker said to a call.
 *
 * <p>{@code CallResult} is thread-safe and immutable.
 *
 * @param kind what became of the call
 * @param clockMillis the worker's clock, negative if it told none
 * @param detail the worker's reason or the error, for the log
 */
public record CallResult(Kind kind, long clockMillis, String detail) {

    /** The worker's clock where no answer told it. */
    public static final long NO_CLOCK = -1;

    /** What became of a call. */
    public enum Kind {
        /** The worker did it, or had done it before. */
        DONE,
        /** The worker has no room; nothing was done. */
        NO_ROOM,
        /** The run is not above one that ended or was stopped there; it will never start. */
        SUPERSEDED,
        /** The time for which the worker should keep its runs is over already. */
        LEASE_PAST,
        /** A newer leader has given orders. */
        FENCED,
        /** The worker refuses the order for good. */
        INVALID,
        /** The worker is unwell and did nothing. */
        UNWELL,
        /** The worker's hall is evacuated; the worker was not called. */
        EVACUATED,
        /** Another life of the worker answered; the one meant is gone. */
        OTHER_LIFE,
        /** No answer came: it may have been done, or be done later. */
        UNKNOWN
    }

    /**
     * Checks whether the next run should go elsewhere for a while. In an evacuated hall, a leader
     * that has not read of the evacuation would order it there at once.
     *
     * @return true if the worker is unwell or its hall evacuated
     */
    public boolean isWorkerToBeAvoided() {
        return kind == Kind.UNWELL || kind == Kind.EVACUATED;
    }
}
