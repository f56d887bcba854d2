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
 * The parameters of a decision benchmark: the workers, their service, the weights and the noise.
 *
 * <p>{@code Scenario} is thread-safe and immutable.
 *
 * @param name the name that is printed
 * @param workers the number of workers
 * @param cores the cores of each worker
 * @param memoryMegabytes the memory of each worker, in megabytes
 * @param serviceCores the cores reserved for the service on each worker
 * @param latencyWeight the operators' weight of tail latency
 * @param throughputWeight the operators' weight of batch throughput
 * @param noisy whether one batch class interferes six times as much for 10 minutes of every 30
 */
public record Scenario(
        String name,
        int workers,
        double cores,
        long memoryMegabytes,
        double serviceCores,
        double latencyWeight,
        double throughputWeight,
        boolean noisy) {

    /** Large workers; batch throughput weighs more. */
    public static final Scenario THROUGHPUT =
            new Scenario("throughput", 11, 32, 125_000, 8, 1, 2, false);

    /** Smaller workers; tail latency weighs more. */
    public static final Scenario LATENCY = new Scenario("latency", 11, 16, 60_000, 4, 3, 1, false);

    /** Large workers and recurring periods with noisy tasks. */
    public static final Scenario NOISY = new Scenario("noisy-wave", 11, 32, 125_000, 8, 1, 2, true);
}
