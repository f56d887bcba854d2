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
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Reads one MessagePack value, accepting only the types that {@link PackOutput} writes: whoever
 * calls it decodes a value of any other shape by data binding, which decides whether it is valid.
 *
 * <p>All methods throw an unchecked exception if the next value is of another type than requested
 * or the bytes end.
 *
 * <p>{@code PackInput} is mutable and not thread-safe.
 */
public final class PackInput {

    /** Data binding decodes binary values in place of strings as Base64; they are left to it. */
    private static final MessagePack.UnpackerConfig STRICT =
            new MessagePack.UnpackerConfig().withAllowReadingBinaryAsString(false);

    private final MessageUnpacker unpacker;

    /**
     * Creates an input.
     *
     * @param bytes the encoded value
     */
    public PackInput(byte[] bytes) {
        unpacker = STRICT.newUnpacker(bytes);
    }

    /**
     * Begins a map, whose keys and values are read next.
     *
     * @return the number of keys
     */
    public int map() {
        try {
            return unpacker.unpackMapHeader();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Begins an array.
     *
     * @return the array, or null if the value is nil
     */
    public PackArray array() {
        try {
            return isNil() ? null : new PackArray(this, unpacker.unpackArrayHeader());
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads nil if it is next.
     *
     * @return whether nil was next
     */
    public boolean isNil() {
        try {
            return unpacker.tryUnpackNil();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads a string.
     *
     * @return the string, or null if the value is nil
     */
    public String text() {
        try {
            return isNil() ? null : unpacker.unpackString();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads an integer.
     *
     * @return the integer
     */
    public long number() {
        try {
            return unpacker.unpackLong();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads a floating-point number.
     *
     * @return the number
     */
    public double decimal() {
        try {
            return unpacker.unpackDouble();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads a truth value.
     *
     * @return the truth value
     */
    public boolean flag() {
        try {
            return unpacker.unpackBoolean();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /**
     * Reads an array.
     *
     * @param <T> the type of the elements
     * @param format the format of the elements
     * @return the elements, or null if the value is nil
     */
    public <T> List<T> list(PackFormat<T> format) {
        try {
            if (isNil()) {
                return null;
            }
            int size = unpacker.unpackArrayHeader();
            // The size is not trusted before that many elements were read.
            List<T> elements = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                elements.add(format.read(this));
            }
            return elements;
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    /** Skips the next value. */
    public void skip() {
        try {
            unpacker.skipValue();
        } catch (IOException failure) {
            throw notRead(failure);
        }
    }

    private static StandlinkException notRead(IOException cause) {
        return new StandlinkException(
                ErrorCode.INVALID_MESSAGE,
                "a value could not be decoded",
                "check that both processes run compatible versions of standlink",
                cause);
    }
}
