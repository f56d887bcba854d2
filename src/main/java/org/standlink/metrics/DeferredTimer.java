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

import io.micrometer.core.instrument.AbstractTimer;
import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig;
import io.micrometer.core.instrument.distribution.pause.PauseDetector;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A timer that keeps its samples and their times until a registry takes it over.
 *
 * <p>{@code DeferredTimer} is thread-safe.
 */
final class DeferredTimer extends AbstractTimer implements DeferredMeter {

    /** The initial capacity, in samples; most combinations of tags occur rarely. */
    private static final int INITIAL_CAPACITY = 8;

    private final DistributionStatisticConfig config;

    private final PauseDetector configuredPauseDetector;

    /** Called for each sample that is kept. */
    private final Runnable sampleListener;

    /** The kept samples in nanoseconds; guarded by this. */
    private long[] nanos = new long[INITIAL_CAPACITY];

    /** The times of the kept samples in milliseconds since 1970; guarded by this. */
    private long[] wallMillis = new long[INITIAL_CAPACITY];

    /** The number of kept samples; guarded by this. */
    private int size;

    /** The timer of the registry; null before it took this one over. */
    private volatile Timer target;

    /**
     * Creates a timer.
     *
     * @param id the id of the meter
     * @param clock the clock
     * @param config which statistics the registry publishes
     * @param pauseDetector the detector of pauses
     * @param sampleListener called for each sample that is kept
     */
    DeferredTimer(
            Meter.Id id,
            Clock clock,
            DistributionStatisticConfig config,
            PauseDetector pauseDetector,
            Runnable sampleListener) {
        super(
                id,
                clock,
                DistributionStatisticConfig.NONE,
                pauseDetector,
                TimeUnit.NANOSECONDS,
                false);
        this.config = config;
        this.configuredPauseDetector = pauseDetector;
        this.sampleListener = sampleListener;
    }

    @Override
    protected void recordNonNegative(long amount, TimeUnit unit) {
        Timer current = target;
        if (current == null) {
            synchronized (this) {
                current = target;
                if (current == null) {
                    keep(unit.toNanos(amount));
                }
            }
        }
        if (current == null) {
            sampleListener.run();
        } else {
            current.record(amount, unit);
        }
    }

    private void keep(long sampleNanos) {
        if (size == nanos.length) {
            nanos = Arrays.copyOf(nanos, 2 * size);
            wallMillis = Arrays.copyOf(wallMillis, 2 * size);
        }
        nanos[size] = sampleNanos;
        wallMillis[size] = clock.wallTime();
        size++;
    }

    @Override
    public synchronized void moveTo(MeterRegistry registry, ReplayClock replayClock) {
        if (size > 0) {
            replayClock.showPast(wallMillis[0]);
        }
        try {
            Timer timer = registerIn(registry);
            for (int i = 0; i < size; i++) {
                replayClock.showPast(wallMillis[i]);
                timer.record(nanos[i], TimeUnit.NANOSECONDS);
            }
            target = timer;
        } finally {
            replayClock.showPresent();
        }
        nanos = null;
        wallMillis = null;
        size = 0;
    }

    private Timer registerIn(MeterRegistry registry) {
        Timer.Builder builder =
                Timer.builder(getId().getName())
                        .tags(getId().getTagsAsIterable())
                        .description(getId().getDescription())
                        .publishPercentiles(config.getPercentiles())
                        .publishPercentileHistogram(config.isPercentileHistogram())
                        .percentilePrecision(config.getPercentilePrecision())
                        .distributionStatisticExpiry(config.getExpiry())
                        .distributionStatisticBufferLength(config.getBufferLength())
                        .pauseDetector(configuredPauseDetector);
        if (config.getMinimumExpectedValueAsDouble() != null) {
            builder.minimumExpectedValue(toDuration(config.getMinimumExpectedValueAsDouble()));
        }
        if (config.getMaximumExpectedValueAsDouble() != null) {
            builder.maximumExpectedValue(toDuration(config.getMaximumExpectedValueAsDouble()));
        }
        double[] objectives = config.getServiceLevelObjectiveBoundaries();
        if (objectives != null) {
            builder.serviceLevelObjectives(
                    Arrays.stream(objectives)
                            .mapToObj(DeferredTimer::toDuration)
                            .toArray(Duration[]::new));
        }
        return builder.register(registry);
    }

    private static Duration toDuration(double durationNanos) {
        return Duration.ofNanos((long) durationNanos);
    }

    // -----------------------------------------------------------------------
    @Override
    public synchronized long count() {
        return target == null ? size : target.count();
    }

    @Override
    public synchronized double totalTime(TimeUnit unit) {
        if (target != null) {
            return target.totalTime(unit);
        }
        double total = 0;
        for (int i = 0; i < size; i++) {
            total += nanos[i];
        }
        return total / unit.toNanos(1);
    }

    @Override
    public synchronized double max(TimeUnit unit) {
        if (target != null) {
            return target.max(unit);
        }
        long max = 0;
        for (int i = 0; i < size; i++) {
            max = Math.max(max, nanos[i]);
        }
        return (double) max / unit.toNanos(1);
    }
}
