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

import java.util.Objects;
import org.standlink.metrics.LateBoundMeters;

/**
 * Publishes the figures of predictions as meters.
 *
 * <p>{@code MicrometerOrderMetrics} is thread-safe.
 */
public final class MicrometerOrderMetrics implements OrderMetrics {

    private final LateBoundMeters meters;

    /**
     * Creates metrics.
     *
     * @param meters the meters of the process
     */
    public MicrometerOrderMetrics(LateBoundMeters meters) {
        this.meters = Objects.requireNonNull(meters);
    }

    @Override
    public void recordFactor(String queue, double factor) {
        meters.setGauge(
                "standlink.order.predicted.factor",
                "median time of jobs, by their estimated critical path",
                factor,
                "queue",
                queue);
    }

    @Override
    public void recordCompletion(String queue, Timeliness predicted, Timeliness actual) {
        meters.increment(
                "standlink.order.completions",
                "completed jobs by their predicted and actual timeliness",
                "queue",
                queue,
                "predicted",
                predicted.toString(),
                "actual",
                actual.toString());
    }
}
