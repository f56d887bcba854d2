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
package org.standlink.store;

import org.standlink.Epoch;
import org.standlink.Incarnation;

/**
 * Identifies the writer of a topic: the epoch under which it writes, and its process.
 *
 * <p>Epochs are meant to have one writer each. The process makes two writers of the same epoch
 * distinguishable should there ever be any: they number their appends differently, so that neither
 * receives the answer to an append of the other one.
 *
 * <p>{@code WriterId} is thread-safe and immutable.
 *
 * @param epoch the epoch
 * @param process the incarnation of the process
 */
public record WriterId(Epoch epoch, Incarnation process) {

    /** Spreads the incarnations over the sequence numbers: 2^64 divided by the golden ratio. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** The number of bits that are dropped, so that JSON numbers represent the others exactly. */
    private static final int DROPPED_BITS = 16;

    /**
     * Gets the number that precedes the first append.
     *
     * @return the number, from 0 to 2^48 - 1, which depends on the process
     */
    public long initialSequence() {
        return process.getValue() * MULTIPLIER >>> DROPPED_BITS;
    }
}
