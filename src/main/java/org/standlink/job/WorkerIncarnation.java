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
package org.standlink.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * One incarnation of a worker, from a start of its process to the end of that process.
 *
 * <p>A worker may restart under the same id without any state of its previous incarnation. All
 * state, leases, counters and orders therefore belong to an incarnation and not to an id. A worker
 * that reports no start time has a different id in each incarnation.
 *
 * <p>Which of two incarnations is the current one follows from which one answers, not from the
 * start times: the clock of a worker may have been set back between two starts.
 *
 * <p>{@code WorkerIncarnation} is thread-safe and immutable.
 */
public final class WorkerIncarnation {

    /** The separator of id and start time; no id contains it. */
    private static final char SEPARATOR = '@';

    /** Marks an unknown start time. */
    private static final long NO_START_TIME = -1;

    private final WorkerId id;

    /** The start time, in milliseconds since 1970 on the worker's clock. */
    private final long startMillis;

    private WorkerIncarnation(WorkerId id, long startMillis) {
        this.id = id;
        this.startMillis = startMillis;
    }

    /**
     * Obtains an incarnation from its start time.
     *
     * @param id the id of the worker
     * @param startMillis the start time, in milliseconds since 1970 on the worker's clock
     * @return the incarnation
     * @throws StandlinkException with code INVALID_IDENTIFIER if the start time is negative
     */
    public static WorkerIncarnation of(WorkerId id, long startMillis) {
        if (startMillis < 0) {
            throw malformed(id + "" + SEPARATOR + startMillis);
        }
        return new WorkerIncarnation(id, startMillis);
    }

    /**
     * Obtains an incarnation of a worker that reports no start time.
     *
     * @param id the id of the worker
     * @return the incarnation
     */
    public static WorkerIncarnation withoutStartTime(WorkerId id) {
        return new WorkerIncarnation(id, NO_START_TIME);
    }

    /**
     * Parses the text form.
     *
     * <p>An incarnation without a start time belongs to a worker that reports none. If other
     * incarnations of the same id are known, the text was written by an older version of the
     * program, and it is unknown which incarnation it meant.
     *
     * @param text the id, or the id, an at-sign and the start time
     * @return the incarnation
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text is malformed
     */
    @JsonCreator
    public static WorkerIncarnation parse(String text) {
        int separator = text == null ? -1 : text.indexOf(SEPARATOR);
        if (separator < 0) {
            return withoutStartTime(WorkerId.parse(text));
        }
        WorkerId id = WorkerId.parse(text.substring(0, separator));
        try {
            return of(id, Long.parseLong(text.substring(separator + 1)));
        } catch (NumberFormatException notANumber) {
            throw malformed(text);
        }
    }

    private static StandlinkException malformed(String text) {
        return new StandlinkException(
                ErrorCode.INVALID_IDENTIFIER,
                "'" + text + "' is not an incarnation of a worker",
                "use an id, an at-sign and the start time in milliseconds since 1970");
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the id of the worker, which its other incarnations may share.
     *
     * @return the id
     */
    public WorkerId getId() {
        return id;
    }

    /**
     * Checks whether the start time is known, which distinguishes this incarnation from others of
     * the worker.
     *
     * @return false if the worker reports none, or if an older version of the program wrote none
     */
    public boolean hasStartTime() {
        return startMillis != NO_START_TIME;
    }

    /**
     * Checks whether this is a different incarnation of the same worker. A call intended for one of
     * them may then reach the other.
     *
     * @param other the other incarnation
     * @return true if the two differ and share an id
     */
    public boolean isOtherIncarnationOf(WorkerIncarnation other) {
        return id.equals(other.id) && startMillis != other.startMillis;
    }

    /**
     * Checks whether this incarnation started after another one, each by its own clock.
     *
     * @param other the other incarnation
     * @return true if its start time is later
     */
    public boolean isStartedAfter(WorkerIncarnation other) {
        return startMillis > other.startMillis;
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object object) {
        return object instanceof WorkerIncarnation other
                && startMillis == other.startMillis
                && id.equals(other.id);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(startMillis);
    }

    @JsonValue
    @Override
    public String toString() {
        return hasStartTime() ? id.toString() + SEPARATOR + startMillis : id.toString();
    }
}
