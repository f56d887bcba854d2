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
package org.standlink.store;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/** Writes and reads the values of records as MessagePack. */
public final class MessagePackCodec {

    /** The serializer; parts that a newer version added are passed over. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** No instances. */
    private MessagePackCodec() {}

    /**
     * Writes a value.
     *
     * @param value the value
     * @return the bytes
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException impossible) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL, "record not encoded", "report a defect", impossible);
        }
    }

    /**
     * Reads a value.
     *
     * @param <T> its type
     * @param bytes the bytes
     * @param type its type
     * @return the value
     * @throws StandlinkException with code INVALID_MESSAGE if the bytes are not such a value
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException malformed) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "a record of " + bytes.length + " bytes is no " + type.getSimpleName(),
                    "check which version of standlink wrote it",
                    malformed);
        }
    }
}
