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
package org.standlink.admission;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.standlink.JobId;

/**
 * Computes after how long the caller of a refused job should retry.
 *
 * <p>Jobs that are refused one after the other wait for the same time, at which the backlog permits
 * them. They are spread from this time over as long again as they have waited by then, so that they
 * return no faster than the backlog drains.
 *
 * <p>{@code RetryDelay} is thread-safe and immutable.
 */
final class RetryDelay {

    /** The minimum that the Retry-After header can express, in seconds. */
    static final long MIN_SECONDS = 1;

    /** The maximum that the requirements permit, in seconds. */
    static final long MAX_SECONDS = 30;

    private static final double MILLIS_PER_SECOND = 1000;

    /** Distributes the bits of a checksum over a long. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** The number of values of the mixed checksum. */
    private static final double MIXED_VALUES = 0x1p32;

    private RetryDelay() {}

    /**
     * Computes the delay.
     *
     * @param job the identifier of the refused job
     * @param waitMillis after how long the backlog permits the job, in milliseconds
     * @return the delay in whole seconds, 1 to 30
     */
    static long computeSeconds(JobId job, double waitMillis) {
        // Beyond half the maximum, the spread and the wait do not both fit. The spread is kept,
        // because most callers that return together are refused again.
        double earliest = Math.min(waitMillis / MILLIS_PER_SECOND, MAX_SECONDS / 2.0);
        double share = mix(job) / MIXED_VALUES;
        return Math.max(MIN_SECONDS, (long) Math.ceil(earliest * (1 + share)));
    }

    private static long mix(JobId job) {
        CRC32 checksum = new CRC32();
        checksum.update(job.toString().getBytes(StandardCharsets.UTF_8));
        long mixed = checksum.getValue() * MULTIPLIER;
        return mixed >>> Integer.SIZE;
    }
}
