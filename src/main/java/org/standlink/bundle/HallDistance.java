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
package org.standlink.bundle;

import org.standlink.HallId;

/**
 * The one-way latency between two halls.
 *
 * <p>{@code HallDistance} is thread-safe and immutable.
 *
 * @param from one hall
 * @param to the other hall
 * @param micros the latency, in microseconds
 */
public record HallDistance(HallId from, HallId to, long micros) {

    /**
     * Checks whether this is the distance between two halls, in either direction.
     *
     * @param first one hall
     * @param second the other hall
     * @return true if it is
     */
    public boolean isBetween(HallId first, HallId second) {
        return from.equals(first) && to.equals(second) || from.equals(second) && to.equals(first);
    }
}
