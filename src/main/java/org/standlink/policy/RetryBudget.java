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

/**
 * Bounds retries to a share of the requests, so that retries never multiply an overload.
 *
 * <p>{@code RetryBudget} is thread-safe.
 */
public final class RetryBudget {

    /** The most that can be saved up, in retries. */
    private static final double MOST_SAVED = 50;

    /** What each request adds, in retries. */
    private final double share;

    /** What is saved up, in retries. */
    private double saved = MOST_SAVED / 5;

    /**
     * Constructor.
     *
     * @param share the share of requests that may be retried, 0 to 1
     */
    public RetryBudget(double share) {
        this.share = share;
    }

    /** Notes a request. */
    public synchronized void recordRequest() {
        saved = Math.min(MOST_SAVED, saved + share);
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return true if there was one
     */
    public synchronized boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
