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
package org.standlink.prediction;

import java.util.List;
import java.util.Map;

/**
 * Predicts how long jobs of a queue take, as a multiple of the critical path that their callers
 * estimated.
 *
 * <p>Implementations need not be thread-safe; they are used on the leader's event loop.
 */
public interface DurationPredictor {

    /**
     * Learns from a completed job.
     *
     * @param queue the name of the job's queue
     * @param ratio the time from its first start to its completion, divided by its estimated
     *     critical path; positive
     * @param now the time on the leader's clock, in milliseconds
     */
    void observeCompleted(String queue, double ratio, long now);

    /**
     * Learns from the running jobs, so that a burst is noticed before the first of its jobs
     * completes: those that already take longer than predicted count as samples of at least that
     * length. Replaces what earlier calls gave, so that each job counts once.
     *
     * @param minimumRatios by the name of the queue, for each running job the time since its first
     *     start, divided by its estimated critical path
     */
    void observeRunning(Map<String, List<Double>> minimumRatios);

    /**
     * Predicts the median ratio.
     *
     * @param queue the name of the queue
     * @param now the time on the leader's clock, in milliseconds
     * @return the ratio, which is the prior as long as nothing was observed
     */
    double predictMedianRatio(String queue, long now);

    /**
     * Predicts the ratio that four of five jobs do not exceed.
     *
     * @param queue the name of the queue
     * @param now the time on the leader's clock, in milliseconds
     * @return the ratio, at least the median
     */
    double predictHighRatio(String queue, long now);

    /**
     * Predicts the share of jobs that do not exceed a ratio.
     *
     * @param queue the name of the queue
     * @param ratio the ratio
     * @param now the time on the leader's clock, in milliseconds
     * @return the share, 0 to 1
     */
    double predictShareWithin(String queue, double ratio, long now);
}
