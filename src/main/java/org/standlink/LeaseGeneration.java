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
 * The generation of an agent's lease.
 *
 * <p>A leader increases the generation after it has released the tasks of an unresponsive agent;
 * starts of an earlier generation are rejected.
 *
 * <p>{@code LeaseGeneration} is thread-safe and immutable.
 */
public final class LeaseGeneration extends AbstractSequence<LeaseGeneration> {

    /** The value that precedes the first generation. */
    public static final LeaseGeneration NONE = new LeaseGeneration(0);

    private LeaseGeneration(long value) {
        super(value);
    }

    /**
     * Creates a generation from its number.
     *
     * @param value the number, zero or more
     * @return the generation
     * @throws StandlinkException with code INVALID_IDENTIFIER if the number is negative
     */
    @JsonCreator
    public static LeaseGeneration of(long value) {
        return new LeaseGeneration(check("LeaseGeneration", value));
    }

    @Override
    public LeaseGeneration next() {
        return new LeaseGeneration(getValue() + 1);
    }
}
