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
package org.standlink.agent;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.ServiceId;
import org.standlink.wire.ServiceReport;

/**
 * Measures the tail latency of the services on this VM against their targets.
 *
 * <p>{@code ServiceMeter} is thread-safe.
 */
final class ServiceMeter {

    /** The maximum number of requests that are sampled for each service. */
    private static final int MAX_SAMPLES = 256;

    /** The age at which a sample is no longer used, in milliseconds. */
    private static final long WINDOW_MILLIS = 10_000;

    /** The number of samples below which no tail latency is reported. */
    private static final int MIN_SAMPLES = 20;

    /** The quantile that is reported as tail latency. */
    private static final double TAIL_QUANTILE = 0.99;

    /** The number of load levels that are distinguished. */
    private static final int LOAD_LEVELS = 4;

    /** The latest samples of a service, in a circular buffer. */
    private static final class Window {

        /** The latency of each sample, in percent of the target. */
        private final int[] latencyPercents = new int[MAX_SAMPLES];

        /** The time of each sample, in milliseconds. */
        private final long[] times = new long[MAX_SAMPLES];

        /** The number of samples added so far. */
        private long count;

        /** The number of slots of the upstream. */
        private int slots = 1;

        /** The number of requests that were running at each sample. */
        private final int[] runningRequests = new int[MAX_SAMPLES];
    }

    private final Map<ServiceId, Window> windows = new HashMap<>();

    /**
     * Records a request.
     *
     * @param service the service
     * @param latencyPercent the latency, in percent of the target of the request class
     * @param runningRequests the number of requests running at the upstream
     * @param slots the number of slots of the upstream
     * @param nowMillis the current time, in milliseconds
     */
    synchronized void recordRequest(
            ServiceId service, int latencyPercent, int runningRequests, int slots, long nowMillis) {
        Window window = windows.computeIfAbsent(service, key -> new Window());
        int index = (int) (window.count % MAX_SAMPLES);
        window.latencyPercents[index] = latencyPercent;
        window.times[index] = nowMillis;
        window.runningRequests[index] = runningRequests;
        window.slots = slots;
        window.count++;
    }

    /**
     * Creates reports on the services with enough recent samples.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the reports
     */
    synchronized List<ServiceReport> createReports(long nowMillis) {
        List<ServiceReport> reports = new ArrayList<>();
        windows.forEach((service, window) -> addReport(service, window, nowMillis, reports));
        return reports;
    }

    private static void addReport(
            ServiceId service, Window window, long nowMillis, List<ServiceReport> reports) {
        int[] recent = new int[MAX_SAMPLES];
        int count = 0;
        long runningRequests = 0;
        for (int i = 0; i < Math.min(window.count, MAX_SAMPLES); i++) {
            if (nowMillis - window.times[i] <= WINDOW_MILLIS) {
                runningRequests += window.runningRequests[i];
                recent[count++] = window.latencyPercents[i];
            }
        }
        if (count < MIN_SAMPLES) {
            return;
        }
        Arrays.sort(recent, 0, count);
        int tail = recent[(int) Math.min(count - 1, Math.floor(count * TAIL_QUANTILE))];
        long level = runningRequests * LOAD_LEVELS / ((long) count * window.slots);
        reports.add(new ServiceReport(service, (int) Math.min(LOAD_LEVELS - 1, level), tail));
    }
}
