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

import io.micrometer.core.instrument.MeterRegistry;

/**
 * A meter that keeps what it records until a registry takes it over.
 *
 * <p>Implementations are thread-safe.
 */
interface DeferredMeter {

    /**
     * Registers a meter of the same id and hands it everything recorded so far and from now on.
     *
     * @param registry the registry
     * @param clock the clock of the registry, to be set to the times of kept samples
     */
    void moveTo(MeterRegistry registry, ReplayClock clock);
}
