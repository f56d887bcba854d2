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
package org.standlink.runner;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.standlink.lease.MonotonicClock;

/**
 * The conditions under which runs may be started on a worker.
 *
 * <p>{@code StartConditions} is immutable; its parts are confined to the agent's event loop.
 *
 * @param reachable supplies whether the worker answered the last renewal
 * @param leaseClock the worker's clock as far as it is known
 * @param leaseEnd supplies the end of the lease, on the agent's clock, in milliseconds
 * @param clock the agent's clock
 * @param acknowledgements the acknowledgements of ends, from which starts are separate
 */
record StartConditions(
        BooleanSupplier reachable,
        WorkerLeaseClock leaseClock,
        LongSupplier leaseEnd,
        MonotonicClock clock,
        EndAcknowledgements acknowledgements) {

    /**
     * Finds what prevents runs from being started now.
     *
     * @return what is missing; empty if nothing is
     */
    String findObstacle() {
        if (!leaseClock.isKnown()) {
            return "the worker's clock";
        }
        if (!reachable.getAsBoolean()) {
            return "an answer of the worker";
        }
        if (acknowledgements.isHigherFenceRequired()) {
            return "a higher fence";
        }
        return leaseEnd.getAsLong() <= clock.nowMillis() ? "a lease" : "";
    }
}
