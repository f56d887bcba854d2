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

/**
 * Numbers the appends of one writer, so that a repeated one counts once and one of an older epoch
 * is refused.
 *
 * <p>{@code AppendCondition} is thread-safe and immutable.
 *
 * @param epoch the epoch of the writer
 * @param sequence the number of the append in the epoch, from 0
 * @param expectedEnd where the topic must end for the append to be done, or {@link #ANY_END}
 */
public record AppendCondition(Epoch epoch, long sequence, long expectedEnd) {

    /** Stands for an append that is done wherever the topic ends. */
    public static final long ANY_END = -1;
}
