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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.standlink.VmId;

/**
 * Ejects upstreams from routing for a while if they fail or are far slower than the others.
 *
 * <p>An ejected upstream is probed with single requests after a time that doubles with each
 * ejection. At most half of the upstreams are ejected at a time, so that a common cause of failure
 * never leaves none.
 *
 * <p>{@code OutlierDetector} is thread-safe.
 */
public final class OutlierDetector {

    /** The number of consecutive failures after which an upstream is ejected. */
    private static final int FAILURES_TO_EJECT = 3;

    /** The multiple of the median answer time above which an upstream is ejected. */
    private static final double SLOW_FACTOR = 5;

    /** The number of answers before an upstream can be ejected for being slow. */
    private static final long MIN_ANSWERS = 20;

    /** The duration of the first ejection, in milliseconds. */
    private static final long FIRST_EJECTION_MILLIS = 1_000;

    /** The longest duration of an ejection, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 30_000;

    /** The weight of a new answer time in the mean. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final Map<VmId, UpstreamState> states = new HashMap<>();

    /** The state of one upstream. */
    private static final class UpstreamState {

        /** The mean answer time, in microseconds. */
        private final RunningMean latency = new RunningMean(ANSWER_WEIGHT);

        /** The number of failures since the last answer. */
        private int failures;

        /** When the upstream may be probed, in milliseconds; 0 if it is not ejected. */
        private long ejectedUntilMillis;

        /** Whether a probe is in progress. */
        private boolean probing;

        /** The duration of the next ejection, in milliseconds. */
        private long nextEjectionMillis = FIRST_EJECTION_MILLIS;
    }

    /**
     * Records an answer.
     *
     * @param vm the upstream
     * @param micros the answer time, in microseconds
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordAnswer(VmId vm, long micros, long nowMillis) {
        UpstreamState state = states.computeIfAbsent(vm, key -> new UpstreamState());
        state.latency.add(micros);
        state.failures = 0;
        double median = getMedianLatency();
        boolean slow =
                state.latency.getCount() >= MIN_ANSWERS
                        && micros > median * SLOW_FACTOR
                        && state.latency.getMean() > median * SLOW_FACTOR;
        if (slow) {
            eject(state, nowMillis);
        } else if (state.ejectedUntilMillis != 0) {
            state.ejectedUntilMillis = 0;
            state.probing = false;
        } else {
            state.nextEjectionMillis =
                    Math.max(FIRST_EJECTION_MILLIS, state.nextEjectionMillis - 1);
        }
    }

    /**
     * Records a failure.
     *
     * @param vm the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordFailure(VmId vm, long nowMillis) {
        UpstreamState state = states.computeIfAbsent(vm, key -> new UpstreamState());
        state.failures++;
        if (state.failures >= FAILURES_TO_EJECT) {
            eject(state, nowMillis);
        }
    }

    /**
     * Checks whether a request may be sent to an upstream; an ejected one may get a single probe
     * when the time of its ejection has passed.
     *
     * @param vm the upstream
     * @param nowMillis the current time, in milliseconds
     * @return true if a request may be sent
     */
    public synchronized boolean isAllowed(VmId vm, long nowMillis) {
        UpstreamState state = states.get(vm);
        return state == null
                || state.ejectedUntilMillis == 0
                || nowMillis >= state.ejectedUntilMillis;
    }

    /**
     * Records that a request was sent to an upstream, which is its probe if it is ejected.
     *
     * @param vm the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordSend(VmId vm, long nowMillis) {
        UpstreamState state = states.get(vm);
        if (state != null
                && state.ejectedUntilMillis != 0
                && nowMillis >= state.ejectedUntilMillis) {
            state.ejectedUntilMillis = nowMillis + state.nextEjectionMillis;
            state.probing = true;
        }
    }

    /**
     * Gets the mean answer time of an upstream.
     *
     * @param vm the upstream
     * @return the mean, in microseconds; 0 if not known
     */
    public synchronized long getLatencyMicros(VmId vm) {
        UpstreamState state = states.get(vm);
        return state == null ? 0 : Math.round(state.latency.getMean());
    }

    /**
     * Removes the state of all upstreams but the given ones.
     *
     * @param existing the upstreams that still exist
     */
    public synchronized void retain(Collection<VmId> existing) {
        states.keySet().retainAll(existing);
    }

    // -----------------------------------------------------------------------
    private void eject(UpstreamState state, long nowMillis) {
        if (state.ejectedUntilMillis != 0 && !state.probing) {
            // The request was sent before the ejection, so its result is no new evidence.
            return;
        }
        state.probing = false;
        long ejected =
                states.values().stream().filter(other -> other.ejectedUntilMillis != 0).count();
        if (state.ejectedUntilMillis == 0 && (ejected + 1) * 2 > states.size()) {
            return;
        }
        state.ejectedUntilMillis = nowMillis + state.nextEjectionMillis;
        state.nextEjectionMillis = Math.min(MAX_EJECTION_MILLIS, state.nextEjectionMillis * 2);
    }

    private double getMedianLatency() {
        double[] means =
                states.values().stream()
                        .filter(state -> state.latency.getCount() > 0)
                        .mapToDouble(state -> state.latency.getMean())
                        .sorted()
                        .toArray();
        return means.length == 0 ? 0 : means[means.length / 2];
    }
}
