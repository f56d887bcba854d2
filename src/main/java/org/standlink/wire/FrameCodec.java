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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Encodes, decodes, writes and reads frames.
 *
 * <p>{@code FrameCodec} is thread-safe and immutable; the streams given to it are not.
 */
public final class FrameCodec {

    /** The maximum length of a frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /**
     * Data binding, for the types of messages that {@link MessageWriter} and {@link MessageReader}
     * do not know. It is created when first used, since a start need not wait for it.
     *
     * <p>{@code DataBinding} is thread-safe and immutable.
     */
    static final class DataBinding {

        /**
         * Serialises messages; unknown properties, such as those of newer versions, are ignored.
         */
        private static final ObjectMapper MAPPER =
                new ObjectMapper(new MessagePackFactory())
                        .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

        private DataBinding() {}

        /**
         * Encodes a frame.
         *
         * @param frame the frame
         * @return the encoded bytes
         * @throws IOException if it cannot be encoded
         */
        static byte[] encode(Frame frame) throws IOException {
            return MAPPER.writeValueAsBytes(frame);
        }

        /**
         * Decodes a frame.
         *
         * @param bytes the encoded bytes
         * @return the frame
         * @throws IOException if the bytes are not a valid frame
         */
        static Frame decode(byte[] bytes) throws IOException {
            return MAPPER.readValue(bytes, Frame.class);
        }
    }

    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the encoded bytes, without the length
     */
    public static byte[] encode(Frame frame) {
        byte[] bytes = MessageWriter.encode(frame);
        if (bytes != null) {
            return bytes;
        }
        try {
            return DataBinding.encode(frame);
        } catch (IOException impossible) {
            throw new StandlinkException(
                    ErrorCode.INTERNAL,
                    "the frame could not be encoded",
                    "report a defect",
                    impossible);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the encoded bytes, without the length
     * @return the frame
     * @throws StandlinkException with code INVALID_MESSAGE if the bytes are not a valid frame
     */
    public static Frame decode(byte[] bytes) {
        Frame frame = decodeKnown(bytes);
        if (frame != null) {
            return frame;
        }
        try {
            return DataBinding.decode(bytes);
        } catch (IOException | RuntimeException malformed) {
            // The MessagePack parser throws unchecked exceptions on truncated bytes.
            throw invalid("a frame of " + bytes.length + " bytes could not be decoded", malformed);
        }
    }

    /**
     * Writes an encoded frame, preceded by its length, and flushes the stream.
     *
     * @param output the stream
     * @param bytes the encoded frame
     * @throws IOException if the stream fails
     */
    public static void write(DataOutputStream output, byte[] bytes) throws IOException {
        output.writeInt(bytes.length);
        output.write(bytes);
        output.flush();
    }

    /**
     * Reads one frame.
     *
     * @param input the stream
     * @return the frame
     * @throws IOException if the stream fails or ends
     * @throws StandlinkException with code INVALID_MESSAGE if the length is out of range or the
     *     bytes are not a valid frame
     */
    public static Frame read(DataInputStream input) throws IOException {
        int length = input.readInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw invalid("a frame has an invalid length of " + length + " bytes", null);
        }
        byte[] bytes = new byte[length];
        input.readFully(bytes);
        return decode(bytes);
    }

    private static Frame decodeKnown(byte[] bytes) {
        try {
            return MessageReader.decode(bytes);
        } catch (RuntimeException otherShape) {
            // Data binding decides whether the frame is valid.
            return null;
        }
    }

    private static StandlinkException invalid(String problem, Throwable cause) {
        return new StandlinkException(
                ErrorCode.INVALID_MESSAGE,
                problem,
                "check that both processes run compatible versions of standlink",
                cause);
    }
}
