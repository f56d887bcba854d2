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
package org.standlink.benchmark;

/**
 * The result of one strategy on one scenario.
 *
 * <p>{@code DecisionResult} is thread-safe and immutable.
 *
 * @param strategy the name of the strategy
 * @param missPercent the share of latency measurements above the target, in percent
 * @param tailPercent the 99th percentile of latency, in percent of the target
 * @param coreHours the batch work done, in core-hours
 * @param evictions the number of evicted tasks
 * @param overCapacitySeconds the time in which grants exceeded the capacity of a worker, summed
 *     over the workers, in seconds
 */
public record DecisionResult(
        String strategy,
        double missPercent,
        double tailPercent,
        double coreHours,
        int evictions,
        int overCapacitySeconds) {

    @Override
    public String toString() {
        return String.format(
                "%-24s misses %5.2f%%  p99 %4.0f%% of target  work %7.1f core-h  evictions %4d  over capacity %d",
                strategy, missPercent, tailPercent, coreHours, evictions, overCapacitySeconds);
    }
}
