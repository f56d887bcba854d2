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

import java.util.Map;

/**
 * A change of the order that applies to the jobs of a service.
 *
 * <p>{@code OrderChange} is thread-safe and immutable.
 *
 * @param service the name of the service
 * @param valueDensity whether {@link ValueDensityOrder} applies now rather than {@link
 *     RemainingShareOrder}
 * @param predictedFactors the predicted median time of jobs by the name of the queue, as multiples
 *     of the estimated critical path, rounded to hundredths
 * @param waitingWork the estimated work of the best-effort tasks left without a worker in the last
 *     round, in thousandths of a core times milliseconds
 */
public record OrderChange(
        String service,
        boolean valueDensity,
        Map<String, Double> predictedFactors,
        double waitingWork) {}
