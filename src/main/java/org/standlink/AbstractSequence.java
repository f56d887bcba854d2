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
package org.standlink;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A non-negative number of a sequence whose values only increase.
 *
 * <p>Subclasses differ only in type, so that the compiler distinguishes the kinds of numbers.
 *
 * <p>{@code AbstractSequence} is thread-safe and immutable, and its subclasses must be as well.
 *
 * @param <T> the subclass itself
 */
public abstract class AbstractSequence<T extends AbstractSequence<T>> implements Comparable<T> {

    private final long value;

    /**
     * Creates a sequence number.
     *
     * @param value the number, already validated
     */
    protected AbstractSequence(long value) {
        this.value = value;
    }

    /**
     * Checks that a number is not negative.
     *
     * @param kind the name of the type, for the error message
     * @param value the number to check
     * @return the number
     * @throws StandlinkException with code INVALID_IDENTIFIER if the number is negative
     */
    protected static long check(String kind, long value) {
        if (value < 0) {
            throw new StandlinkException(
                    ErrorCode.INVALID_IDENTIFIER,
                    kind + " " + value + " is negative",
                    "use zero or a positive number");
        }
        return value;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the number.
     *
     * @return the number, zero or more
     */
    @JsonValue
    public final long getValue() {
        return value;
    }

    /**
     * Gets the value that follows this one.
     *
     * @return the next value
     */
    public abstract T next();

    /**
     * Checks whether this value is greater than another.
     *
     * @param other the value to compare with
     * @return true if this value is greater
     */
    public final boolean isAfter(T other) {
        return value > other.getValue();
    }

    // -----------------------------------------------------------------------
    @Override
    public final int compareTo(T other) {
        return Long.compare(value, other.getValue());
    }

    @Override
    public final boolean equals(Object other) {
        return other != null
                && other.getClass() == getClass()
                && ((AbstractSequence<?>) other).value == value;
    }

    @Override
    public final int hashCode() {
        return Long.hashCode(value);
    }

    @Override
    public final String toString() {
        return Long.toString(value);
    }
}
