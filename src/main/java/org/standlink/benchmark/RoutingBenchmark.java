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
 * fails. The load increases halfway through the stream.
 *
 * <p>{@code RoutingBenchmark} is mutable and not thread-safe; use one for each run.
 */
public final class RoutingBenchmark {

    /** The number of upstreams. */
    private static final int UPSTREAMS = 11;

    private static final int SLOTS_PER_UPSTREAM = 8;

    /** The number of requests. */
    private static final int REQUESTS = 60_000;

    /** The mean service time, in microseconds. */
    private static final double MEAN_SERVICE_MICROS = 10_000;

    /** The factor by which the slow upstream is slower than the others. */
    private static final double SLOW_FACTOR = 10;

    /** The index of the slow upstream. */
    private static final int SLOW_UPSTREAM = 3;

    /** The index of the failing upstream. */
    private static final int FAILING_UPSTREAM = 7;

    /** The utilisation of the slots in the first and in the second half of the stream. */
    private static final double[] UTILISATIONS = {0.4, 0.7};

    /** The completion of a request. */
    private record Completion(long atMicros, int upstream, long sentMicros) {}

    private final RoutingPolicy policy;

    /** Ejects failing and slow upstreams; null for no ejection. */
    private final OutlierDetector outlierDetector;

    private final Random random = new Random(11);

    /** The time at which each slot of each upstream becomes free, in microseconds. */
    private final long[][] slotFreeMicros = new long[UPSTREAMS][SLOTS_PER_UPSTREAM];

    /** The number of requests in progress at each upstream. */
    private final int[] outstanding = new int[UPSTREAMS];

    /** The completions of the requests in progress, earliest first. */
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMicros(), b.atMicros()));

    /** The latencies of the answered requests, in microseconds. */
    private final List<Long> latencies = new ArrayList<>();

    /** The number of failed requests. */
    private int failures;

    /**
     * Creates a benchmark.
     *
     * @param policy chooses the upstream of each request
     * @param outlierDetector ejects failing and slow upstreams; null for no ejection
     */
    public RoutingBenchmark(RoutingPolicy policy, OutlierDetector outlierDetector) {
        this.policy = policy;
        this.outlierDetector = outlierDetector;
    }

    /**
     * Routes the stream of requests.
     *
     * @param name the name of the policy
     * @return the result in one line
     */
    public String run(String name) {
        long nowMicros = 0;
        for (int i = 0; i < REQUESTS; i++) {
            double utilisation = UTILISATIONS[i < REQUESTS / 2 ? 0 : 1];
            double meanGapMicros =
                    MEAN_SERVICE_MICROS / (UPSTREAMS * SLOTS_PER_UPSTREAM * utilisation);
            nowMicros += (long) (-Math.log(1 - random.nextDouble()) * meanGapMicros);
            completeUntil(nowMicros);
            send(nowMicros);
        }
        completeUntil(Long.MAX_VALUE);
        long[] sorted = latencies.stream().mapToLong(Long::longValue).sorted().toArray();
        return String.format(
                "%-28s p50 %6.1f ms  p99 %7.1f ms  failures %5.2f%%",
                name,
                sorted[sorted.length / 2] / 1000.0,
                sorted[(int) (sorted.length * 0.99)] / 1000.0,
                100.0 * failures / REQUESTS);
    }

    // -----------------------------------------------------------------------
    private void send(long nowMicros) {
        List<UpstreamView> candidates = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            VmId vm = VmId.parse("vm-" + i);
            if (outlierDetector == null || outlierDetector.isAllowed(vm, nowMicros / 1000)) {
                long latencyMicros =
                        outlierDetector == null ? 0 : outlierDetector.getLatencyMicros(vm);
                candidates.add(
                        new UpstreamView(
                                vm, outstanding[i], SLOTS_PER_UPSTREAM, 500, latencyMicros));
            }
        }
        VmId chosen = candidates.get(policy.choose(candidates)).vm();
        int upstream = Integer.parseInt(chosen.toString().substring(3));
        if (outlierDetector != null) {
            outlierDetector.recordSend(chosen, nowMicros / 1000);
        }
        if (upstream == FAILING_UPSTREAM) {
            failures++;
            if (outlierDetector != null) {
                outlierDetector.recordFailure(chosen, nowMicros / 1000);
            }
            return;
        }
        double meanMicros =
                upstream == SLOW_UPSTREAM ? MEAN_SERVICE_MICROS * SLOW_FACTOR : MEAN_SERVICE_MICROS;
        long serviceMicros = (long) (-Math.log(1 - random.nextDouble()) * meanMicros);
        Arrays.sort(slotFreeMicros[upstream]);
        long startMicros = Math.max(nowMicros, slotFreeMicros[upstream][0]);
        slotFreeMicros[upstream][0] = startMicros + serviceMicros;
        outstanding[upstream]++;
        completions.add(new Completion(startMicros + serviceMicros, upstream, nowMicros));
    }

    private void completeUntil(long nowMicros) {
        while (!completions.isEmpty() && completions.peek().atMicros() <= nowMicros) {
            Completion completion = completions.remove();
            outstanding[completion.upstream()]--;
            long latencyMicros = completion.atMicros() - completion.sentMicros();
            latencies.add(latencyMicros);
            if (outlierDetector != null) {
                outlierDetector.recordAnswer(
                        VmId.parse("vm-" + completion.upstream()),
                        latencyMicros,
                        completion.atMicros() / 1000);
            }
        }
    }
}
