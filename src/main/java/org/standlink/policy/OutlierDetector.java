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
 * Takes upstreams that fail, or are far slower than the others, out of routing for a while.
 *
 * <p>A removed upstream is probed with single requests after a time that doubles with each removal.
 * At most half of the upstreams are out at a time, so that a common cause never leaves none.
 *
 * <p>{@code OutlierDetector} is thread-safe.
 */
public final class OutlierDetector {

    /** How many failures in a row remove an upstream. */
    private static final int FAILURES_TO_REMOVE = 3;

    /** How many times the median answer time removes an upstream. */
    private static final double SLOWER_THAN_MEDIAN = 5;

    /** How many answers must have been seen before slowness counts. */
    private static final long ANSWERS_TO_JUDGE = 20;

    /** The first time out, in milliseconds. */
    private static final long FIRST_OUT_MILLIS = 1_000;

    /** The longest time out, in milliseconds. */
    private static final long LONGEST_OUT_MILLIS = 30_000;

    /** How much a new answer time counts. */
    private static final double RATE = 0.1;

    /** What is known of each upstream. */
    private final Map<VmId, Record> records = new HashMap<>();

    /** What is known of an upstream. */
    private static final class Record {

        /** Answer times, in microseconds. */
        private final RunningMean latency = new RunningMean(RATE);

        /** Failures since the last answer. */
        private int failures;

        /** When it may be probed, in milliseconds; 0 while it is in routing. */
        private long outUntil;

        /** Whether a probe is under way. */
        private boolean probing;

        /** The next time out, in milliseconds. */
        private long nextOut = FIRST_OUT_MILLIS;
    }

    /**
     * Notes an answer.
     *
     * @param vm the upstream
     * @param micros how long it took, in microseconds
     * @param nowMillis the time, in milliseconds
     */
    public synchronized void recordAnswer(VmId vm, long micros, long nowMillis) {
        Record record = records.computeIfAbsent(vm, key -> new Record());
        record.latency.add(micros);
        record.failures = 0;
        double median = median();
        boolean slow =
                record.latency.getCount() >= ANSWERS_TO_JUDGE
                        && micros > median * SLOWER_THAN_MEDIAN
                        && record.latency.getMean() > median * SLOWER_THAN_MEDIAN;
        if (slow) {
            remove(record, nowMillis);
        } else if (record.outUntil != 0) {
            record.outUntil = 0;
            record.probing = false;
        } else {
            record.nextOut = Math.max(FIRST_OUT_MILLIS, record.nextOut - 1);
        }
    }

    /**
     * Notes a failure.
     *
     * @param vm the upstream
     * @param nowMillis the time, in milliseconds
     */
    public synchronized void recordFailure(VmId vm, long nowMillis) {
        Record record = records.computeIfAbsent(vm, key -> new Record());
        record.failures++;
        if (record.failures >= FAILURES_TO_REMOVE) {
            remove(record, nowMillis);
        }
    }

    /**
     * Checks whether an upstream may be taken; a removed one that is due may be taken once.
     *
     * @param vm the upstream
     * @param nowMillis the time, in milliseconds
     * @return true if it may
     */
    public synchronized boolean isAllowed(VmId vm, long nowMillis) {
        Record record = records.get(vm);
        return record == null || record.outUntil == 0 || nowMillis >= record.outUntil;
    }

    /**
     * Notes that a request was sent to an upstream, which is its probe if it was removed.
     *
     * @param vm the upstream
     * @param nowMillis the time, in milliseconds
     */
    public synchronized void recordSend(VmId vm, long nowMillis) {
        Record record = records.get(vm);
        if (record != null && record.outUntil != 0 && nowMillis >= record.outUntil) {
            record.outUntil = nowMillis + record.nextOut;
            record.probing = true;
        }
    }

    /**
     * Gets the mean answer time of an upstream.
     *
     * @param vm the upstream
     * @return the mean, in microseconds, 0 if not known
     */
    public synchronized long getLatencyMicros(VmId vm) {
        Record record = records.get(vm);
        return record == null ? 0 : Math.round(record.latency.getMean());
    }

    /**
     * Forgets the upstreams that are gone.
     *
     * @param present the upstreams that are still there
     */
    public synchronized void retain(Collection<VmId> present) {
        records.keySet().retainAll(present);
    }

    // -----------------------------------------------------------------------
    private void remove(Record record, long nowMillis) {
        if (record.outUntil != 0 && !record.probing) {
            // What was sent before the removal says nothing new.
            return;
        }
        record.probing = false;
        long out = records.values().stream().filter(other -> other.outUntil != 0).count();
        if (record.outUntil == 0 && (out + 1) * 2 > records.size()) {
            return;
        }
        record.outUntil = nowMillis + record.nextOut;
        record.nextOut = Math.min(LONGEST_OUT_MILLIS, record.nextOut * 2);
    }

    private double median() {
        double[] means =
                records.values().stream()
                        .filter(record -> record.latency.getCount() > 0)
                        .mapToDouble(record -> record.latency.getMean())
                        .sorted()
                        .toArray();
        return means.length == 0 ? 0 : means[means.length / 2];
    }
}
