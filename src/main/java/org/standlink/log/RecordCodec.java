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
package org.standlink.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Writes and reads log records as JSON, so that operators can read the log.
 *
 * <p>{@code RecordCodec} is thread-safe and immutable.
 */
public final class RecordCodec {

    /** Ignores unknown fields, which a newer version may have added. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final SecureRandom RANDOM = new SecureRandom();

    /** The length of a record id, in bytes. */
    private static final int ID_BYTES = 12;

    private RecordCodec() {}

    /**
     * Creates the id of a new record.
     *
     * @return a random id, unique among all records
     */
    public static String newId() {
        byte[] bytes = new byte[ID_BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Encodes a record.
     *
     * @param record the record
     * @return its bytes
     */
    public static byte[] encode(LogRecord record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (IOException exception) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    "log record could not be encoded as JSON",
                    "report a defect",
                    exception);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the bytes
     * @return the record; empty if the bytes are not a known record, which every reader ignores
     */
    public static Optional<LogRecord> decode(byte[] bytes) {
        try {
            return Optional.of(MAPPER.readValue(bytes, LogRecord.class));
        } catch (IOException | IllegalArgumentException exception) {
            return Optional.empty();
        }
    }
}
