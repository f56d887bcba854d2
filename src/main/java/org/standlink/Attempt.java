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
 * The number of a try at running a task.
 *
 * <p>The fold of the log accepts an assignment only with the attempt after the last one, so a task
 * resumes once per eviction.
 *
 * <p>{@code Attempt} is thread-safe and immutable.
 */
public final class Attempt extends AbstractSequence<Attempt> {

    /** The value before the first. */
    public static final Attempt NONE = new Attempt(0);

    /**
     * Constructor.
     *
     * @param value the checked number
     */
    private Attempt(long value) {
        super(value);
    }

    /**
     * Makes a value from its number.
     *
     * @param value the number, zero or more
     * @return the value
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
