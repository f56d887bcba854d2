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
package org.standlink.process;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.standlink.lease.MonotonicClock;

/**
 * Waits for conditions by polling them.
 *
 * <p>{@code Polling} is thread-safe and immutable.
 */
public final class Polling {

    /** The interval between two checks, in milliseconds. */
    private static final long INTERVAL_MILLIS = 50;

    private Polling() {}

    /**
     * Waits until a condition holds or the deadline has passed.
     *
     * @param condition the condition
     * @param clock the clock
     * @param deadlineMillis the time on the clock at which the wait ends at the latest
     * @throws InterruptedException if the thread is interrupted
     */
    public static void await(BooleanSupplier condition, MonotonicClock clock, long deadlineMillis)
            throws InterruptedException {
        while (clock.nowMillis() < deadlineMillis && !condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        }
    }
}
