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
 * Decodes the incarnation of the worker that sent a message.
 *
 * <p>{@code IncarnationFormat} is thread-safe and immutable.
 */
final class IncarnationFormat {

    private static final String START_TIME_FIELD = "born";

    private IncarnationFormat() {}

    /**
     * Decodes the incarnation that sent a message. Workers that send no start time use a new id for
     * each incarnation.
     *
     * @param id the id of the worker
     * @param fields the message
     * @return the incarnation
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if the start
     *     time is present but not a whole number of milliseconds; the message then applies to no
     *     incarnation
     */
    static WorkerIncarnation decode(WorkerId id, JsonNode fields) {
        return fields.has(START_TIME_FIELD)
                ? WorkerIncarnation.of(id, decodeStartTime(fields.path(START_TIME_FIELD)))
                : WorkerIncarnation.withoutStartTime(id);
    }

    /**
     * Decodes the incarnation that sent an answer.
     *
     * @param called the incarnation that was called
     * @param fields the answer
     * @return the incarnation that answered
     * @throws StandlinkException with code INVALID_MESSAGE, which names the field, if the start
     *     time is not a whole number of milliseconds, or is missing although the worker has sent
     *     one before
     */
    static WorkerIncarnation decodeAnswer(WorkerIncarnation called, JsonNode fields) {
        return called.hasStartTime()
                ? WorkerIncarnation.of(
                        called.getId(), decodeStartTime(fields.path(START_TIME_FIELD)))
                : decode(called.getId(), fields);
    }

    private static long decodeStartTime(JsonNode field) {
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < 0) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "field "
                            + START_TIME_FIELD
                            + " of a worker is missing or not a non-negative whole number",
                    "check what the worker sends");
        }
        return field.longValue();
    }
}
