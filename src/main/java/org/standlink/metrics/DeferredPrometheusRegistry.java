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
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.LongTaskTimer;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig;
import io.micrometer.core.instrument.distribution.pause.PauseDetector;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.standlink.process.Guarded;

/**
 * Meters that record at once and a Prometheus exposition that is created at the first scrape, since
 * its classes take a large part of the time of a start.
 *
 * <p>Until then, counters are summed and the samples of timers are kept with their times; the
 * exposition then receives them as if it had existed all along. Gauges and function counters need
 * nothing kept, since they are queried at each scrape. Distribution summaries and timers of long
 * tasks create the exposition at once. If very many samples are kept, the exposition is created
 * without a scrape.
 *
 * <p>{@code DeferredPrometheusRegistry} is thread-safe.
 */
public final class DeferredPrometheusRegistry extends CompositeMeterRegistry {

    /**
     * The number of kept samples at which the exposition is created without a scrape. They take 160
     * KB and are reached after 100 s at 100 calls a second; scrapes are usually a minute apart.
     */
    private static final int MAX_SAMPLES = 10_000;

    /** Creates the exposition if very many samples are kept. */
    private final Executor executor;

    private final int maxSamples;

    private final AtomicInteger sampleCount = new AtomicInteger();

    private final AtomicBoolean limitReached = new AtomicBoolean();

    /** Guards the meters and the creation of the exposition. */
    private final Object lock = new Object();

    /** The meters that the exposition has to take over; guarded by the lock. */
    private final List<DeferredMeter> deferred = new ArrayList<>();

    /** The exposition; null before the first scrape. */
    private volatile PrometheusMeterRegistry exposition;

    /**
     * Creates a registry.
     *
     * @param executor creates the exposition if very many samples are kept
     */
    public DeferredPrometheusRegistry(Executor executor) {
        this(executor, Clock.SYSTEM, MAX_SAMPLES);
    }

    /**
     * Creates a registry.
     *
     * @param executor creates the exposition if very many samples are kept
     * @param clock the clock
     * @param maxSamples the number of kept samples at which the exposition is created
     */
    DeferredPrometheusRegistry(Executor executor, Clock clock, int maxSamples) {
        super(clock);
        this.executor = executor;
        this.maxSamples = maxSamples;
    }

    /**
     * Gets the metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String scrape() {
        return getExposition().scrape();
    }

    /**
     * Returns whether the exposition was created.
     *
     * @return whether it was created
     */
    boolean isExposed() {
        return exposition != null;
    }

    // -----------------------------------------------------------------------
    @Override
    protected Timer newTimer(
            Meter.Id id, DistributionStatisticConfig config, PauseDetector pauseDetector) {
        DeferredTimer timer =
                new DeferredTimer(id, clock, config, pauseDetector, this::countSample);
        register(timer);
        return timer;
    }

    @Override
    protected Counter newCounter(Meter.Id id) {
        DeferredCounter counter = new DeferredCounter(id);
        register(counter);
        return counter;
    }

    @Override
    protected DistributionSummary newDistributionSummary(
            Meter.Id id, DistributionStatisticConfig config, double scale) {
        getExposition();
        return super.newDistributionSummary(id, config, scale);
    }

    @Override
    protected LongTaskTimer newLongTaskTimer(Meter.Id id, DistributionStatisticConfig config) {
        getExposition();
        return super.newLongTaskTimer(id, config);
    }

    private void register(DeferredMeter meter) {
        synchronized (lock) {
            if (exposition == null) {
                deferred.add(meter);
            } else {
                meter.moveTo(exposition, new ReplayClock(clock));
            }
        }
    }

    private void countSample() {
        if (sampleCount.incrementAndGet() >= maxSamples
                && limitReached.compareAndSet(false, true)) {
            try {
                executor.execute(Guarded.work("exposition", this::getExposition));
            } catch (RejectedExecutionException stopping) {
                // The process is stopping; what is being measured must not fail because of it.
                return;
            }
        }
    }

    private PrometheusMeterRegistry getExposition() {
        PrometheusMeterRegistry current = exposition;
        return current == null ? createExposition() : current;
    }

    private PrometheusMeterRegistry createExposition() {
        synchronized (lock) {
            if (exposition == null) {
                ReplayClock replayClock = new ReplayClock(clock);
                PrometheusMeterRegistry created =
                        new PrometheusMeterRegistry(
                                PrometheusConfig.DEFAULT, new PrometheusRegistry(), replayClock);
                deferred.forEach(meter -> meter.moveTo(created, replayClock));
                deferred.clear();
                add(created);
                exposition = created;
            }
            return exposition;
        }
    }
}
