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
package org.standlink.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.standlink.election.Claim;
import org.standlink.lease.MonotonicClock;
import org.standlink.metrics.DeferredPrometheusRegistry;
import org.standlink.metrics.LateBoundMeters;
import org.standlink.platform.HttpStore;
import org.standlink.platform.PlatformHttpClient;
import org.standlink.process.EventLog;
import org.standlink.process.ProcessThreads;
import org.standlink.process.WorkFailures;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.Topic;
import org.standlink.store.TopicFollower;
import org.standlink.store.TopicReceiver;

/**
 * The resources of every process on the users' platform: threads, the store and the metrics.
 *
 * <p>{@code PlatformContext} is thread-safe.
 */
final class PlatformContext implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(PlatformContext.class);

    private final MonotonicClock clock = MonotonicClock.ofSystem();

    /** The threads for connections and calls. */
    private final ExecutorService executor = ProcessThreads.newCached("work");

    /**
     * The metrics; null until they are needed, since an agent records none before its first scrape.
     * Guarded by this.
     */
    private DeferredPrometheusRegistry registry;

    /** The meters to be registered once there is a registry; guarded by this. */
    private final List<LateBoundMeters> lateMeters = new ArrayList<>();

    /** The event loop, a single thread on which all decisions of the process are made. */
    private final ScheduledExecutorService loop = ProcessThreads.newScheduled("loop", 1);

    private final PlatformHttpClient storeClient = new PlatformHttpClient(executor);

    private final KeyedStore store;

    /**
     * Creates the resources.
     *
     * @param settings the settings of the process
     */
    PlatformContext(PlatformSettings settings) {
        store = new HttpStore(storeClient, settings.store(), settings.storeLimits());
    }

    /**
     * Follows the topic of the operator.
     *
     * @param receiver receives the records
     */
    void followOperatorTopic(OperatorTopicReceiver receiver) {
        follow(Topic.OPERATOR, receiver);
    }

    /**
     * Follows the claims of leadership.
     *
     * @param receiver receives each claim
     * @return the follower
     */
    TopicFollower followClaims(Consumer<Claim> receiver) {
        return follow(
                Topic.CLAIMS, record -> deliver(claim -> receiver.accept(Claim.of(claim)), record));
    }

    private TopicFollower follow(Topic topic, TopicReceiver receiver) {
        TopicFollower follower = new TopicFollower(store, topic, loop, loop, receiver);
        follower.start();
        return follower;
    }

    private static void deliver(Consumer<KeyedRecord> receiver, KeyedRecord record) {
        try {
            receiver.accept(record);
        } catch (RuntimeException malformed) {
            // A malformed record must not hide the ones after it.
            LOG.error("record-not-read").with("key", record.key()).with("cause", malformed).write();
        }
    }

    /**
     * Gets the metrics.
     *
     * @return the registry
     */
    synchronized DeferredPrometheusRegistry getRegistry() {
        if (registry == null) {
            registry = new DeferredPrometheusRegistry(executor);
            // Counts since the start of the process, whenever it is registered.
            WorkFailures.registerCounter(registry);
            for (LateBoundMeters meters : lateMeters) {
                meters.bindTo(registry);
            }
        }
        return registry;
    }

    /**
     * Creates meters that are registered once there is a registry.
     *
     * @return the meters
     */
    synchronized LateBoundMeters newLateBoundMeters() {
        LateBoundMeters meters = new LateBoundMeters();
        lateMeters.add(meters);
        if (registry != null) {
            meters.bindTo(registry);
        }
        return meters;
    }

    /**
     * Gets the clock.
     *
     * @return the clock
     */
    MonotonicClock getClock() {
        return clock;
    }

    /**
     * Gets the threads for connections and calls.
     *
     * @return the executor
     */
    ExecutorService getExecutor() {
        return executor;
    }

    /**
     * Gets the event loop.
     *
     * @return the loop, which has a single thread
     */
    ScheduledExecutorService getLoop() {
        return loop;
    }

    /**
     * Gets the store.
     *
     * @return the store
     */
    KeyedStore getStore() {
        return store;
    }

    @Override
    public void close() {
        loop.shutdownNow();
        executor.shutdownNow();
    }
}
