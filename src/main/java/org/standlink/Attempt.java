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
 * The number of an attempt to run a task.
 *
 * <p>The fold of the log accepts an assignment only if its attempt immediately follows the last
 * one, so a task is resumed at most once per eviction.
 *
 * <p>{@code Attempt} is thread-safe and immutable.
 */
public final class Attempt extends AbstractSequence<Attempt> {

    /** The value that precedes the first attempt. */
    public static final Attempt NONE = new Attempt(0);

    private Attempt(long value) {
        super(value);
    }

    /**
     * Creates an attempt from its number.
     *
     * @param value the number, zero or more
     * @return the attempt
     * @throws StandlinkException with code INVALID_IDENTIFIER if the number is negative
     */
    @JsonCreator
    public static Attempt of(long value) {
        return new Attempt(check("Attempt", value));
    }

    @Override
    public Attempt next() {
        return new Attempt(getValue() + 1);
    }
}
