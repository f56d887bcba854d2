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

import java.util.Arrays;
import java.util.Random;

/**
 * A sample of durations, from which quantiles are estimated.
 *
 * <p>All durations are kept up to a limit; beyond it, a uniform random sample of them (reservoir
 * sampling). The maximum is always exact.
 *
 * <p>{@code DurationSample} is not thread-safe.
 */
final class DurationSample {

    private static final int INITIAL_CAPACITY = 8;

    /** A fixed seed, so that the same log gives the same report. */
    private final Random random = new Random(1);

    private final int maxKept;

    private long[] kept = new long[INITIAL_CAPACITY];

    private int keptCount;

    private long count;

    private long maxMillis;

    /**
     * Creates an empty sample.
     *
     * @param maxKept the number of durations that are kept
     */
    DurationSample(int maxKept) {
        this.maxKept = maxKept;
    }

    /**
     * Adds a duration.
     *
     * @param millis the duration, in milliseconds; one below 0 is counted as 0, because the lines
     *     of different machines are not in exact order
     */
    void add(long millis) {
        long duration = Math.max(0, millis);
        count++;
        maxMillis = Math.max(maxMillis, duration);
        if (keptCount < maxKept) {
            if (keptCount == kept.length) {
                kept = Arrays.copyOf(kept, keptCount * 2);
            }
            kept[keptCount++] = duration;
        } else {
            long position = (long) (random.nextDouble() * count);
            if (position < maxKept) {
                kept[(int) position] = duration;
            }
        }
    }

    /**
     * Adds another sample. If that one has dropped durations, the result is approximate.
     *
     * @param other the other sample
     */
    void addAll(DurationSample other) {
        for (int i = 0; i < other.keptCount; i++) {
            add(other.kept[i]);
        }
        count += other.count - other.keptCount;
        maxMillis = Math.max(maxMillis, other.maxMillis);
    }

    /**
     * Computes a quantile by the nearest rank.
     *
     * @param share the share of durations that are at most as long, 0 to 1
     * @return the duration in milliseconds, 0 if there are none
     */
    long getQuantileMillis(double share) {
        if (keptCount == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(kept, keptCount);
        Arrays.sort(sorted);
        int rank = (int) Math.ceil(share * keptCount);
        return sorted[Math.max(0, rank - 1)];
    }

    /** Gets the longest duration, in milliseconds. */
    long getMaxMillis() {
        return maxMillis;
    }

    /** Gets the number of durations that were added. */
    long getCount() {
        return count;
    }

    /** Gets the number of durations that are kept in memory. */
    int getKeptCount() {
        return keptCount;
    }
}
