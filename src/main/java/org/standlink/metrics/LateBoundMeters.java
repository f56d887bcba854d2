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

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gauges and counters that are registered when the registry is created, with the values that they
 * have by then. A leader that takes over need not load the classes of a registry to record them.
 *
 * <p>{@code LateBoundMeters} is thread-safe.
 */
public final class LateBoundMeters {

    /** The meters; guarded by this. */
    private final Map<Key, LateBoundMeter> meters = new LinkedHashMap<>();

    /** The registry, null before it is bound; guarded by this. */
    private MeterRegistry registry;

    /** The name of a meter and its tags, keys and values in turn. */
    private record Key(String name, List<String> tags) {}

    /** The value of a meter. */
    private static final class LateBoundMeter {

        private final String description;

        private final boolean counter;

        private volatile double value;

        LateBoundMeter(String description, boolean counter) {
            this.description = description;
            this.counter = counter;
        }

        double getValue() {
            return value;
        }
    }

    /**
     * Sets the value of a gauge.
     *
     * @param name the name
     * @param description the description
     * @param value the value, NaN if there is none at present
     * @param tags the tags, keys and values in turn
     */
    public synchronized void setGauge(
            String name, String description, double value, String... tags) {
        getOrAdd(new Key(name, List.of(tags)), description, false).value = value;
    }

    /**
     * Increments a counter by one.
     *
     * @param name the name
     * @param description the description
     * @param tags the tags, keys and values in turn
     */
    public synchronized void increment(String name, String description, String... tags) {
        getOrAdd(new Key(name, List.of(tags)), description, true).value++;
    }

    /** Sets all gauges to NaN, because their values are out of date. */
    public synchronized void clearGauges() {
        meters.values().stream()
                .filter(meter -> !meter.counter)
                .forEach(meter -> meter.value = Double.NaN);
    }

    /**
     * Registers the meters, and from then on each new one.
     *
     * @param bound the registry
     */
    public synchronized void bindTo(MeterRegistry bound) {
        registry = bound;
        meters.forEach(this::register);
    }

    // -----------------------------------------------------------------------
    private LateBoundMeter getOrAdd(Key key, String description, boolean counter) {
        LateBoundMeter meter = meters.get(key);
        if (meter == null) {
            meter = new LateBoundMeter(description, counter);
            meters.put(key, meter);
            if (registry != null) {
                register(key, meter);
            }
        }
        return meter;
    }

    private void register(Key key, LateBoundMeter meter) {
        String[] tags = key.tags().toArray(new String[0]);
        if (meter.counter) {
            FunctionCounter.builder(key.name(), meter, LateBoundMeter::getValue)
                    .description(meter.description)
                    .tags(tags)
                    .register(registry);
        } else {
            Gauge.builder(key.name(), meter, LateBoundMeter::getValue)
                    .description(meter.description)
                    .tags(tags)
                    .register(registry);
        }
    }
}
