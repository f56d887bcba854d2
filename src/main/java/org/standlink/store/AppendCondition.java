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
 * The condition under which an append takes effect. The sequence number ensures that a repeated
 * append is executed once, and the epoch that an append of an earlier epoch is rejected.
 *
 * <p>{@code AppendCondition} is thread-safe and immutable.
 *
 * @param epoch the epoch of the writer
 * @param sequence the sequence number of the append in the epoch; the first one may be any number
 * @param expectedEnd the offset at which the topic must end, or {@link #ANY_END}
 */
public record AppendCondition(Epoch epoch, long sequence, long expectedEnd) {

    /** The expected end of an append that does not depend on the end of the topic. */
    public static final long ANY_END = -1;
}
