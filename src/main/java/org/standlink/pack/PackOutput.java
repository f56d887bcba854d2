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
package org.standlink.pack;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.standlink.AbstractSequence;
import org.standlink.ErrorCode;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;

/**
 * Writes one MessagePack value. Null is written as nil.
 *
 * <p>Used by the formats of messages and records; the bytes are those of the data binding that they
 * replace, because processes of both kinds exchange messages during an upgrade.
 *
 * <p>{@code PackOutput} is mutable and not thread-safe.
 */
public final class PackOutput {

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates an empty output. */
    public PackOutput() {}

    /**
     * Begins an array, whose elements are the values written next.
     *
     * @param size the number of elements
     * @return this output
     */
    public PackOutput array(int size) {
        try {
            packer.packArrayHeader(size);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Begins a map, whose keys and values are written next.
     *
     * @param size the number of keys
     * @return this output
     */
    public PackOutput map(int size) {
        try {
            packer.packMapHeader(size);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Writes a string.
     *
     * @param value an object whose {@code toString} is written, or null
     * @return this output
     */
    public PackOutput text(Object value) {
        try {
            if (value == null) {
                packer.packNil();
            } else {
                packer.packString(value.toString());
            }
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Writes the name of a constant.
     *
     * @param value the constant, or null
     * @return this output
     */
    public PackOutput name(Enum<?> value) {
        return text(value == null ? null : value.name());
    }

    /**
     * Writes an integer.
     *
     * @param value the integer
     * @return this output
     */
    public PackOutput number(long value) {
        try {
            packer.packLong(value);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Writes a sequence number.
     *
     * @param value the sequence number, or null
     * @return this output
     */
    public PackOutput sequence(AbstractSequence<?> value) {
        return value == null ? text(null) : number(value.getValue());
    }

    /**
     * Writes the incarnation of a process.
     *
     * @param value the incarnation, or null
     * @return this output
     */
    public PackOutput incarnation(Incarnation value) {
        return value == null ? text(null) : number(value.getValue());
    }

    /**
     * Writes a floating-point number.
     *
     * @param value the number
     * @return this output
     */
    public PackOutput decimal(double value) {
        try {
            packer.packDouble(value);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Writes a truth value.
     *
     * @param value the truth value
     * @return this output
     */
    public PackOutput flag(boolean value) {
        try {
            packer.packBoolean(value);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Writes a composite value.
     *
     * @param <T> the type of the value
     * @param value the value, or null
     * @param format the format of the values
     * @return this output
     */
    public <T> PackOutput value(T value, PackFormat<T> format) {
        if (value == null) {
            return text(null);
        }
        format.write(this, value);
        return this;
    }

    /**
     * Writes an array of composite values.
     *
     * @param <T> the type of the values
     * @param values the values, or null
     * @param format the format of the values
     * @return this output
     */
    public <T> PackOutput list(List<T> values, PackFormat<T> format) {
        if (values == null) {
            return text(null);
        }
        array(values.size());
        for (T element : values) {
            value(element, format);
        }
        return this;
    }

    /**
     * Writes values that are already encoded.
     *
     * @param bytes the encoded values
     * @return this output
     */
    public PackOutput encoded(byte[] bytes) {
        try {
            packer.writePayload(bytes);
            return this;
        } catch (IOException failure) {
            throw notWritten(failure);
        }
    }

    /**
     * Gets what was written.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        return packer.toByteArray();
    }

    private static StandlinkException notWritten(IOException cause) {
        return new StandlinkException(
                ErrorCode.INTERNAL, "a value could not be encoded", "report a defect", cause);
    }
}
