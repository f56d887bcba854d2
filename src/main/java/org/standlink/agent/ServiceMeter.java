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

    /** How many requests are remembered of each service. */
    private static final int REMEMBERED = 256;

    /** How long a request counts, in milliseconds. */
    private static final long WINDOW_MILLIS = 10_000;

    /** The fewest requests from which a tail is told. */
    private static final int FEWEST = 20;

    /** The percentile told. */
    private static final double PERCENTILE = 0.99;

    /** The number of load levels. */
    private static final int LEVELS = 4;

    /** What is remembered of a service. */
    private static final class Window {

        /** Latencies in percent of the target. */
        private final int[] percents = new int[REMEMBERED];

        /** When each was measured, in milliseconds. */
        private final long[] times = new long[REMEMBERED];

        /** The number of requests seen. */
        private long count;

        /** The slots of the upstream. */
        private int slots = 1;

        /** Requests running when each was measured. */
        private final int[] running = new int[REMEMBERED];
    }

    /** The services. */
    private final Map<ServiceId, Window> windows = new HashMap<>();

    /**
     * Notes a request.
     *
     * @param service the service
     * @param percent its latency, in percent of its class's target
     * @param running requests running at the upstream
     * @param slots the slots of the upstream
     * @param nowMillis the time, in milliseconds
     */
    synchronized void recordRequest(
            ServiceId service, int percent, int running, int slots, long nowMillis) {
        Window window = windows.computeIfAbsent(service, key -> new Window());
        int index = (int) (window.count % REMEMBERED);
        window.percents[index] = percent;
        window.times[index] = nowMillis;
        window.running[index] = running;
        window.slots = slots;
        window.count++;
    }

    /**
     * Reports the services that had enough requests lately.
     *
     * @param nowMillis the time, in milliseconds
     * @return the reports
     */
    synchronized List<ServiceReport> createReports(long nowMillis) {
        List<ServiceReport> reports = new ArrayList<>();
        windows.forEach((service, window) -> addReport(service, window, nowMillis, reports));
        return reports;
    }

    private static void addReport(
            ServiceId service, Window window, long nowMillis, List<ServiceReport> reports) {
        int[] recent = new int[REMEMBERED];
        int count = 0;
        long running = 0;
        for (int i = 0; i < Math.min(window.count, REMEMBERED); i++) {
            if (nowMillis - window.times[i] <= WINDOW_MILLIS) {
                running += window.running[i];
                recent[count++] = window.percents[i];
            }
        }
        if (count < FEWEST) {
            return;
        }
        Arrays.sort(recent, 0, count);
        int tail = recent[(int) Math.min(count - 1, Math.floor(count * PERCENTILE))];
        long level = running * LEVELS / ((long) count * window.slots);
        reports.add(new ServiceReport(service, (int) Math.min(LEVELS - 1, level), tail));
    }
}
