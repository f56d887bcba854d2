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
package org.standlink.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;

/**
 * Reads which life of a worker speaks.
 *
 * <p>{@code IncarnationFormat} is thread-safe and immutable.
 */
final class IncarnationFormat {

    /** The field with the birth. */
    private static final String BIRTH = "born";

    /** No instances. */
    private IncarnationFormat() {}

    /**
     * Reads the life that speaks; a worker that tells no birth has another id in each life.
     *
     * @param id the id of the worker
     * @param fields what it said
     * @return the life
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if the birth is
     *     there and not a whole number of milliseconds: what the worker says then counts for none
     *     of its lives
     */
    static WorkerIncarnation decode(WorkerId id, JsonNode fields) {
        return fields.has(BIRTH)
                ? WorkerIncarnation.of(id, birth(fields.path(BIRTH)))
                : WorkerIncarnation.withoutStartTime(id);
    }

    /**
     * Reads which life of a worker answers.
     *
     * @param asked the life that was asked
     * @param fields what it said
     * @return the life
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if the birth is
     *     not a whole number of milliseconds, or missing though the worker has told one before
     */
    static WorkerIncarnation decodeAnswer(WorkerIncarnation asked, JsonNode fields) {
        return asked.hasStartTime()
                ? WorkerIncarnation.of(asked.getId(), birth(fields.path(BIRTH)))
                : decode(asked.getId(), fields);
    }

    private static long birth(JsonNode field) {
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < 0) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "a worker's " + BIRTH + " is missing or not a whole number",
                    "check what the worker sends");
        }
        return field.longValue();
    }
}
