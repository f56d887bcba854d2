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

import io.micrometer.core.instrument.AbstractMeter;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * A counter that sums until a registry takes it over.
 *
 * <p>{@code DeferredCounter} is thread-safe.
 */
final class DeferredCounter extends AbstractMeter implements Counter, DeferredMeter {

    /** The sum before the registry took the counter over; guarded by this. */
    private double sum;

    /** The counter of the registry; null before it took this one over. */
    private volatile Counter target;

    /**
     * Creates a counter.
     *
     * @param id the id of the meter
     */
    DeferredCounter(Meter.Id id) {
        super(id);
    }

    @Override
    public void increment(double amount) {
        Counter current = target;
        if (current == null) {
            synchronized (this) {
                current = target;
                if (current == null) {
                    sum += Math.max(0, amount);
                    return;
                }
            }
        }
        current.increment(amount);
    }

    @Override
    public synchronized double count() {
        return target == null ? sum : target.count();
    }

    @Override
    public synchronized void moveTo(MeterRegistry registry, ReplayClock clock) {
        Counter counter =
                Counter.builder(getId().getName())
                        .tags(getId().getTagsAsIterable())
                        .description(getId().getDescription())
                        .baseUnit(getId().getBaseUnit())
                        .register(registry);
        counter.increment(sum);
        target = counter;
    }
}
