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

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The fencing token of a cell's leadership.
 *
 * <p>Each accepted claim of leadership increases the epoch by one; records and messages of an
 * earlier epoch are ignored.
 *
 * <p>{@code Epoch} is thread-safe and immutable.
 */
public final class Epoch extends AbstractSequence<Epoch> {

    /** The value that precedes the first epoch. */
    public static final Epoch NONE = new Epoch(0);

    private Epoch(long value) {
        super(value);
    }

    /**
     * Creates an epoch from its number.
     *
     * @param value the number, zero or more
     * @return the epoch
     * @throws StandlinkException with code INVALID_IDENTIFIER if the number is negative
     */
    @JsonCreator
    public static Epoch of(long value) {
        return new Epoch(check("Epoch", value));
    }

    @Override
    public Epoch next() {
        return new Epoch(getValue() + 1);
    }
}
