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

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws two upstreams at random and chooses the one with the shorter expected answer time.
 *
 * <p>The expected answer time is the round-trip latency of the network plus the mean answer time of
 * the upstream, which is scaled up with the utilisation of its slots. Two random choices avoid the
 * herding that follows if all entries choose the best upstream, and unlike round robin they take
 * the load into account.
 *
 * <p>{@code TwoChoicesRouting} is as thread-safe as its random number generator.
 */
public final class TwoChoicesRouting implements RoutingPolicy {

    /** The assumed answer time of an upstream without measurements, in microseconds. */
    private static final double DEFAULT_LATENCY_MICROS = 1000;

    private final RandomGenerator random;

    /**
     * Creates a routing policy.
     *
     * @param random the random number generator
     */
    public TwoChoicesRouting(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public int choose(List<UpstreamView> candidates) {
        if (candidates.size() == 1) {
            return 0;
        }
        int first = random.nextInt(candidates.size());
        int second = random.nextInt(candidates.size() - 1);
        if (second >= first) {
            second++;
        }
        return cost(candidates.get(first)) <= cost(candidates.get(second)) ? first : second;
    }

    private static double cost(UpstreamView upstream) {
        double latencyMicros =
                upstream.latencyMicros() == 0 ? DEFAULT_LATENCY_MICROS : upstream.latencyMicros();
        double utilisation = (upstream.outstanding() + 1.0) / upstream.slots();
        return 2.0 * upstream.distanceMicros() + latencyMicros * (1 + utilisation);
    }
}
