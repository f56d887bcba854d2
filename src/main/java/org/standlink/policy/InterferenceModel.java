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

import java.util.Collection;

/** Estimates how much batch tasks lengthen the tail latency of colocated services. */
public interface InterferenceModel {

    /**
     * Learns from a measurement.
     *
     * @param load the service and its load at the time of the measurement
     * @param classes the batch classes of the tasks colocated at that time, one entry per task
     * @param latencyPercent the tail latency of the service, in percent of its target
     */
    void observe(ServiceLoad load, Collection<String> classes, double latencyPercent);

    /**
     * Estimates the tail latency of a service.
     *
     * @param load the service and its load
     * @param classes the batch classes of the colocated tasks, one entry per task
     * @return the tail latency, in percent of the target
     */
    double estimate(ServiceLoad load, Collection<String> classes);

    /**
     * Estimates how much one task adds to the tail latency of a service.
     *
     * @param load the service and its load
     * @param batchClass the batch class of the task
     * @return the increase of the tail latency, in percent of the target
     */
    double estimateIncrease(ServiceLoad load, String batchClass);

    /**
     * Returns the baseline, which assumes that there is no interference.
     *
     * @return the model
     */
    static InterferenceModel ofNone() {
        return new InterferenceModel() {
            @Override
            public void observe(
                    ServiceLoad load, Collection<String> classes, double latencyPercent) {
                // The baseline does not learn.
            }

            @Override
            public double estimate(ServiceLoad load, Collection<String> classes) {
                return 0;
            }

            @Override
            public double estimateIncrease(ServiceLoad load, String batchClass) {
                return 0;
            }
        };
    }
}
