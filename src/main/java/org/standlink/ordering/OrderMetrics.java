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
package org.standlink.ordering;

/**
 * Receives the figures by which operators judge predictions.
 *
 * <p>Implementations must be thread-safe.
 */
public interface OrderMetrics {

    /** Discards the figures. */
    OrderMetrics NONE =
            new OrderMetrics() {
                @Override
                public void recordFactor(String queue, double factor) {}

                @Override
                public void recordCompletion(
                        String queue, Timeliness predicted, Timeliness actual) {}
            };

    /**
     * Records how long jobs of a queue are predicted to take.
     *
     * @param queue the name of the queue
     * @param factor the predicted median, as a multiple of the estimated critical path
     */
    void recordFactor(String queue, double factor);

    /**
     * Records the completion of a job.
     *
     * @param queue the name of the queue
     * @param predicted what was predicted when the job was started
     * @param actual what the job turned out to be
     */
    void recordCompletion(String queue, Timeliness predicted, Timeliness actual);
}
