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
 * One life of a worker, from a start of it to its end.
 *
 * <p>A worker may start again under the id that it had. It then knows nothing of before, so
 * whatever is known of a worker, promised to it, counted or ordered belongs to one life and not to
 * an id. A worker that tells no birth has another id in each life. Which of two lives is the
 * present one is told by who answers, not by the births: a worker's time of day may have been set
 * back between two starts.
 *
 * <p>{@code WorkerIncarnation} is thread-safe and immutable.
 */
public final class WorkerIncarnation {

    /** Stands between id and birth; no id holds it. */
    private static final char SEPARATOR = '@';

    /** Stands for a birth that is not known. */
    private static final long NO_BIRTH = -1;

    /** The id of the worker. */
    private final WorkerId id;

    /** When the life began, in milliseconds since 1970 by the worker's clock. */
    private final long bornMillis;

    /**
     * Constructor.
     *
     * @param id the id of the worker
     * @param bornMillis when the life began, checked
     */
    private WorkerIncarnation(WorkerId id, long bornMillis) {
        this.id = id;
        this.bornMillis = bornMillis;
    }

    /**
     * Names a life.
     *
     * @param id the id of the worker
     * @param bornMillis when the life began, in milliseconds since 1970 by the worker's clock
     * @return the life
     * @throws StandlinkException with code INVALID_IDENTIFIER if the birth is negative
     */
    public static WorkerIncarnation of(WorkerId id, long bornMillis) {
        if (bornMillis < 0) {
            throw malformed(id + "" + SEPARATOR + bornMillis);
        }
        return new WorkerIncarnation(id, bornMillis);
    }

    /**
     * Names a life of a worker that tells no birth.
     *
     * @param id the id of the worker
     * @return the life
     */
    public static WorkerIncarnation withoutStartTime(WorkerId id) {
        return new WorkerIncarnation(id, NO_BIRTH);
    }

    /**
     * Parses a life from text. One without a birth is that of a worker that tells none; beside
     * another life of the same id it is one that an older program wrote, and nobody knows which.
     *
     * @param text the id, and behind an at-sign the birth
     * @return the life
     * @throws StandlinkException with code INVALID_IDENTIFIER if it is none
     */
    @JsonCreator
    public static WorkerIncarnation parse(String text) {
        int at = text == null ? -1 : text.indexOf(SEPARATOR);
        if (at < 0) {
            return withoutStartTime(WorkerId.parse(text));
        }
        WorkerId id = WorkerId.parse(text.substring(0, at));
        try {
            return of(id, Long.parseLong(text.substring(at + 1)));
        } catch (NumberFormatException notWhole) {
            throw malformed(text);
        }
    }

    private static StandlinkException malformed(String text) {
        return new StandlinkException(
                ErrorCode.INVALID_IDENTIFIER,
                "'" + text + "' is not a life of a worker",
                "use an id, an at-sign and the birth in milliseconds since 1970");
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the id of the worker, which other lives of it may share.
     *
     * @return the id
     */
    public WorkerId getId() {
        return id;
    }

    /**
     * Checks whether the birth is known, so that this life can be told from others of the worker.
     *
     * @return false if the worker or an older program told none
     */
    public boolean hasStartTime() {
        return bornMillis != NO_BIRTH;
    }

    /**
     * Checks whether another life is one of the same worker, so that a call meant for one of them
     * may reach the other.
     *
     * @param other the other life
     * @return true if the two differ and have one id
     */
    public boolean isOtherIncarnationOf(WorkerIncarnation other) {
        return id.equals(other.id) && bornMillis != other.bornMillis;
    }

    /**
     * Checks whether this life was born after another one, by the clocks of the two.
     *
     * @param other the other life
     * @return true if so
     */
    public boolean isStartedAfter(WorkerIncarnation other) {
        return bornMillis > other.bornMillis;
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object object) {
        return object instanceof WorkerIncarnation other
                && bornMillis == other.bornMillis
                && id.equals(other.id);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(bornMillis);
    }

    @JsonValue
    @Override
    public String toString() {
        return hasStartTime() ? id.toString() + SEPARATOR + bornMillis : id.toString();
    }
}
