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
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;

/** Encodes and decodes the values of records as MessagePack. */
public final class MessagePackCodec {

    /**
     * Holds the data binding, which is created when first used, since a start need not wait for it.
     */
    private static final class DataBinding {

        /** The serialiser, which ignores components that a newer version added. */
        private static final ObjectMapper MAPPER =
                new ObjectMapper(new MessagePackFactory())
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    private MessagePackCodec() {}

    /**
     * Encodes a value.
     *
     * @param value the value
     * @return the encoded value
     */
    public static byte[] encode(Object value) {
        try {
            return DataBinding.MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL, "record could not be encoded", "report a defect", e);
        }
    }

    /**
     * Decodes a value.
     *
     * @param <T> the type of the value
     * @param bytes the encoded value
     * @param type the class of the value
     * @return the value
     * @throws StandlinkException with code INVALID_MESSAGE if the bytes are malformed or of another
     *     type
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return DataBinding.MAPPER.readValue(bytes, type);
        } catch (IOException | RuntimeException e) {
            // The MessagePack parser throws unchecked exceptions on truncated bytes.
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "a record of "
                            + bytes.length
                            + " bytes cannot be decoded as "
                            + type.getSimpleName(),
                    "check which version of standlink wrote it",
                    e);
        }
    }

    /**
     * Encodes a value without data binding.
     *
     * @param <T> the type of the value
     * @param value the value
     * @param format writes the bytes that {@link #encode(Object)} would return
     * @return the encoded value
     */
    public static <T> byte[] encode(T value, PackFormat<T> format) {
        return new PackOutput().value(value, format).toBytes();
    }

    /**
     * Decodes a value without data binding, unless its shape is not the one that the reader
     * expects.
     *
     * @param <T> the type of the value
     * @param bytes the encoded value
     * @param type the class of the value
     * @param format reads the value
     * @return the value
     * @throws StandlinkException with code INVALID_MESSAGE if the bytes are malformed or of another
     *     type
     */
    public static <T> T decode(byte[] bytes, Class<T> type, PackFormat<T> format) {
        T value = null;
        try {
            value = format.read(new PackInput(bytes));
        } catch (RuntimeException otherShape) {
            // Data binding decides whether the value is valid.
            value = null;
        }
        return value == null ? decode(bytes, type) : value;
    }
}
