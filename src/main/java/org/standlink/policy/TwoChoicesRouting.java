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
 * Draws two upstreams at random and takes the one that is expected to answer first.
 *
 * <p>The expected time is the distance there and back, plus the mean answer time, stretched by how
 * full the slots are. Two random choices avoid both the herd that a single best one draws and the
 * blindness of taking turns.
 *
 * <p>{@code TwoChoicesRouting} is as thread-safe as its random numbers.
 */
public final class TwoChoicesRouting implements RoutingPolicy {

    /** The answer time of an upstream that has not been seen, in microseconds. */
    private static final double UNSEEN_MICROS = 1000;

    /** Random numbers. */
    private final RandomGenerator random;

    /**
     * Constructor.
     *
     * @param random random numbers
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
        double service = upstream.latencyMicros() == 0 ? UNSEEN_MICROS : upstream.latencyMicros();
        double fullness = (upstream.outstanding() + 1.0) / upstream.slots();
        return 2.0 * upstream.distanceMicros() + service * (1 + fullness);
    }
}
