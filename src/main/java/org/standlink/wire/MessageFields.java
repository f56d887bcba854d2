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

import java.util.List;
import org.standlink.AbstractSequence;
import org.standlink.Incarnation;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackOutput;

/**
 * Collects the fields of a message and writes them as a map, which begins with the message's type.
 * Fields that are null are omitted.
 *
 * <p>{@code MessageFields} is mutable and not thread-safe.
 */
final class MessageFields {

    /** The key of the message's type. */
    static final String TYPE_KEY = "@";

    /** The keys and values; their number, which precedes them, is known only at the end. */
    private final PackOutput fields = new PackOutput();

    private int count;

    private final PackOutput output;

    private final String type;

    /**
     * Creates the fields of a message.
     *
     * @param output where to write
     * @param type the message's type, as in {@link Message}
     */
    MessageFields(PackOutput output, String type) {
        this.output = output;
        this.type = type;
    }

    /**
     * Adds a string.
     *
     * @param key the key
     * @param value an object whose {@code toString} is written, or null
     * @return these fields
     */
    MessageFields text(String key, Object value) {
        if (value != null) {
            count++;
            fields.text(key).text(value);
        }
        return this;
    }

    /**
     * Adds an integer.
     *
     * @param key the key
     * @param value the integer
     * @return these fields
     */
    MessageFields number(String key, long value) {
        count++;
        fields.text(key).number(value);
        return this;
    }

    /**
     * Adds a sequence number.
     *
     * @param key the key
     * @param value the sequence number, or null
     * @return these fields
     */
    MessageFields sequence(String key, AbstractSequence<?> value) {
        return value == null ? this : number(key, value.getValue());
    }

    /**
     * Adds the incarnation of a process.
     *
     * @param key the key
     * @param value the incarnation, or null
     * @return these fields
     */
    MessageFields incarnation(String key, Incarnation value) {
        return value == null ? this : number(key, value.getValue());
    }

    /**
     * Adds a truth value.
     *
     * @param key the key
     * @param value the truth value
     * @return these fields
     */
    MessageFields flag(String key, boolean value) {
        count++;
        fields.text(key).flag(value);
        return this;
    }

    /**
     * Adds a composite value.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param value the value, or null
     * @param format the format of the value
     * @return these fields
     */
    <T> MessageFields value(String key, T value, PackFormat<T> format) {
        if (value != null) {
            count++;
            fields.text(key).value(value, format);
        }
        return this;
    }

    /**
     * Adds an array.
     *
     * @param <T> the type of the elements
     * @param key the key
     * @param values the elements, or null
     * @param format the format of the elements
     * @return these fields
     */
    <T> MessageFields list(String key, List<T> values, PackFormat<T> format) {
        if (values != null) {
            count++;
            fields.text(key).list(values, format);
        }
        return this;
    }

    /** Writes the message. */
    void write() {
        output.map(1 + count).text(TYPE_KEY).text(type).encoded(fields.toBytes());
    }
}
