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
package org.standlink.dayreport;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the workers whose runs are being stopped, because the lines about that name the worker
 * and not the runs.
 *
 * <p>{@code WorkerStops} is not thread-safe.
 */
final class WorkerStops {

    /** How long stops are attributed, in milliseconds: longer than the longest lease, 6 s. */
    private static final long ATTRIBUTION_MILLIS = 10_000;

    /** The number of workers that are remembered, more than a cell has. */
    private static final int MAX_WORKERS = 5000;

    private final Map<String, Stop> stops = new LinkedHashMap<>();

    /** A cause with the time of the line, in milliseconds. */
    private record Stop(String cause, long time) {}

    /**
     * Records that runs of a worker are being stopped.
     *
     * @param worker the worker
     * @param cause the cause
     * @param time when, in milliseconds
     */
    void record(String worker, String cause, long time) {
        stops.remove(worker);
        stops.put(worker, new Stop(cause, time));
        if (stops.size() > MAX_WORKERS) {
            stops.remove(stops.keySet().iterator().next());
        }
    }

    /**
     * Gets why a run of a worker may have been stopped.
     *
     * @param worker the worker
     * @param time when the run ended, in milliseconds
     * @return the cause, empty if none is known
     */
    String getCause(String worker, long time) {
        Stop stop = stops.get(worker);
        return stop == null || time - stop.time() > ATTRIBUTION_MILLIS ? "" : stop.cause();
    }
}
