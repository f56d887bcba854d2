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
 * Limits retries to a share of the requests, so that retries never multiply an overload.
 *
 * <p>{@code RetryBudget} is thread-safe.
 */
public final class RetryBudget {

    /** The maximum number of retries that can accumulate. */
    private static final double MAX_AVAILABLE = 50;

    /** The number of retries that each request adds. */
    private final double share;

    /** The number of retries available. */
    private double available = MAX_AVAILABLE / 5;

    /**
     * Creates a budget that allows a few retries before the first request.
     *
     * @param share the share of requests that may be retried, 0 to 1
     */
    public RetryBudget(double share) {
        this.share = share;
    }

    /** Records a request, which adds to the budget. */
    public synchronized void recordRequest() {
        available = Math.min(MAX_AVAILABLE, available + share);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true if a retry was available
     */
    public synchronized boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
