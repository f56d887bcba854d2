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
package org.standlink.metrics;

import io.micrometer.core.instrument.Clock;

/**
 * A clock that shows the times of kept samples while these are replayed, so that maxima over recent
 * time expire when they would have without the delay.
 *
 * <p>{@code ReplayClock} is thread-safe.
 */
final class ReplayClock implements Clock {

    /** The value of the replayed time while the present time is shown. */
    private static final long PRESENT = -1;

    private final Clock clock;

    /** The replayed time in milliseconds since 1970, or PRESENT. */
    private volatile long replayedMillis = PRESENT;

    /**
     * Creates a clock that shows the present time.
     *
     * @param clock the clock of the present time
     */
    ReplayClock(Clock clock) {
        this.clock = clock;
    }

    /**
     * Shows a past time.
     *
     * @param millis the time in milliseconds since 1970
     */
    void showPast(long millis) {
        replayedMillis = millis;
    }

    /** Shows the present time. */
    void showPresent() {
        replayedMillis = PRESENT;
    }

    @Override
    public long wallTime() {
        long replayed = replayedMillis;
        return replayed == PRESENT ? clock.wallTime() : replayed;
    }

    @Override
    public long monotonicTime() {
        return clock.monotonicTime();
    }
}
