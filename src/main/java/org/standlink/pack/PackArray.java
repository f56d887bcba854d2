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

import java.util.List;

/**
 * Reads the components of a record that is encoded as an array. A component that an older version
 * did not write is null, zero or false; {@link #end} skips those that a newer version added.
 *
 * <p>{@code PackArray} is mutable and not thread-safe.
 */
public final class PackArray {

    private final PackInput input;

    /** The number of elements that are still to be read. */
    private int remaining;

    /**
     * Creates an array.
     *
     * @param input where the elements are next
     * @param size the number of elements
     */
    PackArray(PackInput input, int size) {
        this.input = input;
        this.remaining = size;
    }

    private boolean hasNext() {
        return remaining-- > 0;
    }

    /**
     * Reads a string.
     *
     * @return the string, or null
     */
    public String text() {
        return hasNext() ? input.text() : null;
    }

    /**
     * Reads an integer.
     *
     * @return the integer, or 0
     */
    public long number() {
        return hasNext() ? input.number() : 0;
    }

    /**
     * Reads an integer of 32 bits.
     *
     * @return the integer, or 0
     * @throws ArithmeticException if it has more bits
     */
    public int integer() {
        return Math.toIntExact(number());
    }

    /**
     * Reads a floating-point number.
     *
     * @return the number, or 0
     */
    public double decimal() {
        return hasNext() ? input.decimal() : 0;
    }

    /**
     * Reads a truth value.
     *
     * @return the truth value, or false
     */
    public boolean flag() {
        return hasNext() && input.flag();
    }

    /**
     * Reads a composite value.
     *
     * @param <T> the type of the value
     * @param format the format of the values
     * @return the value, or null
     */
    public <T> T value(PackFormat<T> format) {
        return hasNext() ? format.read(input) : null;
    }

    /**
     * Reads an array of composite values.
     *
     * @param <T> the type of the values
     * @param format the format of the values
     * @return the values, or null
     */
    public <T> List<T> list(PackFormat<T> format) {
        return hasNext() ? input.list(format) : null;
    }

    /** Skips all further components. */
    public void end() {
        while (hasNext()) {
            input.skip();
        }
    }
}
