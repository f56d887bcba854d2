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
 * Limits the number of concurrent requests per key.
 *
 * <p>{@code ConcurrencyLimiter} is thread-safe.
 */
public final class ConcurrencyLimiter {

    /** The number of requests in progress, by key; keys without any are absent. */
    private final Map<Object, Integer> inProgress = new HashMap<>();

    /**
     * Acquires a permit if fewer than the limit are in use.
     *
     * @param key the key that is limited
     * @param limit the maximum number of concurrent requests
     * @return true if acquired, in which case {@link #release} must follow
     */
    public synchronized boolean tryAcquire(Object key, int limit) {
        int count = inProgress.getOrDefault(key, 0);
        if (count >= limit) {
            return false;
        }
        inProgress.put(key, count + 1);
        return true;
    }

    /**
     * Releases a permit.
     *
     * @param key the key that is limited
     */
    public synchronized void release(Object key) {
        inProgress.computeIfPresent(key, (sameKey, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Gets the number of requests in progress.
     *
     * @param key the key that is limited
     * @return the number of requests, 0 if there are none
     */
    public synchronized int getInProgress(Object key) {
        return inProgress.getOrDefault(key, 0);
    }
}
