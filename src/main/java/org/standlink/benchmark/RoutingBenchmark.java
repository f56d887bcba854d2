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

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.standlink.VmId;
import org.standlink.policy.OutlierDetector;
import org.standlink.policy.RoutingPolicy;
import org.standlink.policy.UpstreamView;

/**
 * Routes one seeded stream of requests to 11 upstreams of 8 slots, of which one is slow and one
 * fails, with a step in the load.
 *
 * <p>{@code RoutingBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class RoutingBenchmark {

    /** The upstreams. */
    private static final int UPSTREAMS = 11;

    /** The slots of each. */
    private static final int SLOTS = 8;

    /** The requests. */
    private static final int REQUESTS = 60_000;

    /** The mean service time, in microseconds. */
    private static final double SERVICE_MICROS = 10_000;

    /** How many times slower the slow one is. */
    private static final double SLOWNESS = 10;

    /** The slow upstream. */
    private static final int SLOW = 3;

    /** The failing upstream. */
    private static final int FAILING = 7;

    /** The share of all slots used before and after the step. */
    private static final double[] LOADS = {0.4, 0.7};

    /** An end of a request. */
    private record End(long atMicros, int upstream, long sentMicros) {}

    /** Chooses upstreams. */
    private final RoutingPolicy policy;

    /** Takes bad upstreams out, null for none. */
    private final OutlierDetector outliers;

    /** Random numbers. */
    private final Random random = new Random(11);

    /** When each slot of each upstream is free, in microseconds. */
    private final long[][] free = new long[UPSTREAMS][SLOTS];

    /** Requests at each upstream. */
    private final int[] outstanding = new int[UPSTREAMS];

    /** The requests that have not ended. */
    private final PriorityQueue<End> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMicros(), b.atMicros()));

    /** Latencies of the answered ones, in microseconds. */
    private final List<Long> latencies = new ArrayList<>();

    /** Requests that failed. */
    private int failures;

    /**
     * Constructor.
     *
     * @param policy chooses upstreams
     * @param outliers takes bad upstreams out, null for none
     */
    public RoutingBenchmark(RoutingPolicy policy, OutlierDetector outliers) {
        this.policy = policy;
        this.outliers = outliers;
    }

    /**
     * Runs the stream.
     *
     * @param name the name of the policy
     * @return the result in one line
     */
    public String run(String name) {
        long now = 0;
        for (int i = 0; i < REQUESTS; i++) {
            double load = LOADS[i < REQUESTS / 2 ? 0 : 1];
            double gap = SERVICE_MICROS / (UPSTREAMS * SLOTS * load);
            now += (long) (-Math.log(1 - random.nextDouble()) * gap);
            endUntil(now);
            send(now);
        }
        endUntil(Long.MAX_VALUE);
        long[] sorted = latencies.stream().mapToLong(Long::longValue).sorted().toArray();
        return String.format(
                "%-28s p50 %6.1f ms  p99 %7.1f ms  failures %5.2f%%",
                name,
                sorted[sorted.length / 2] / 1000.0,
                sorted[(int) (sorted.length * 0.99)] / 1000.0,
                100.0 * failures / REQUESTS);
    }

    // -----------------------------------------------------------------------
    private void send(long now) {
        List<UpstreamView> candidates = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            VmId vm = VmId.parse("vm-" + i);
            if (outliers == null || outliers.isAllowed(vm, now / 1000)) {
                long latency = outliers == null ? 0 : outliers.getLatencyMicros(vm);
                candidates.add(new UpstreamView(vm, outstanding[i], SLOTS, 500, latency));
            }
        }
        VmId chosen = candidates.get(policy.choose(candidates)).vm();
        int upstream = Integer.parseInt(chosen.toString().substring(3));
        if (outliers != null) {
            outliers.recordSend(chosen, now / 1000);
        }
        if (upstream == FAILING) {
            failures++;
            if (outliers != null) {
                outliers.recordFailure(chosen, now / 1000);
            }
            return;
        }
        double mean = upstream == SLOW ? SERVICE_MICROS * SLOWNESS : SERVICE_MICROS;
        long service = (long) (-Math.log(1 - random.nextDouble()) * mean);
        Arrays.sort(free[upstream]);
        long start = Math.max(now, free[upstream][0]);
        free[upstream][0] = start + service;
        outstanding[upstream]++;
        ends.add(new End(start + service, upstream, now));
    }

    private void endUntil(long now) {
        while (!ends.isEmpty() && ends.peek().atMicros() <= now) {
            End end = ends.remove();
            outstanding[end.upstream()]--;
            long latency = end.atMicros() - end.sentMicros();
            latencies.add(latency);
            if (outliers != null) {
                outliers.recordAnswer(
                        VmId.parse("vm-" + end.upstream()), latency, end.atMicros() / 1000);
            }
        }
    }
}
