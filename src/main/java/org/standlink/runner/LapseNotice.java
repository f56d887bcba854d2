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
 * Whether a worker's lease has run out, and whether the leader knows of it.
 *
 * <p>{@code LapseNotice} is mutable and not thread-safe; the agent's loop owns it.
 */
final class LapseNotice {

    /** Whether the lapse that goes on has been noted; until the worker answers again. */
    private boolean noted;

    /** Whether the leader has yet to answer a report of a lapse. */
    private boolean untold;

    /**
     * Notes that the lease has run out.
     *
     * @return false if that was known
     */
    boolean note() {
        if (noted) {
            return false;
        }
        noted = true;
        untold = true;
        return true;
    }

    /** Records that the worker answers, so that the next lapse is another one. */
    void workerAnswered() {
        noted = false;
    }

    /** Records that the leader has answered the report. */
    void told() {
        untold = false;
    }

    /**
     * Checks whether the leader has yet to answer a report of a lapse; nothing is started until it
     * has.
     *
     * @return true if so
     */
    boolean isUntold() {
        return untold;
    }
}
