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
package org.standlink.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many requests of each key are in progress.
 *
 * <p>{@code ConcurrencyLimiter} is thread-safe.
 */
public final class ConcurrencyLimiter {

    /** The number in progress of each key. */
    private final Map<Object, Integer> inProgress = new HashMap<>();

    /**
     * Takes a place if there is one.
     *
     * @param key what is limited
     * @param limit how many may be in progress
     * @return true if taken; then {@link #release} must follow
     */
    public synchronized boolean tryAcquire(Object key, int limit) {
        int present = inProgress.getOrDefault(key, 0);
        if (present >= limit) {
            return false;
        }
        inProgress.put(key, present + 1);
        return true;
    }

    /**
     * Gives a place back.
     *
     * @param key what is limited
     */
    public synchronized void release(Object key) {
        inProgress.computeIfPresent(key, (any, present) -> present > 1 ? present - 1 : null);
    }

    /**
     * Gets the number in progress.
     *
     * @param key what is limited
     * @return the number
     */
    public synchronized int getInProgress(Object key) {
        return inProgress.getOrDefault(key, 0);
    }
}
