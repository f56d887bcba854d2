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
package org.standlink.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.lease.MonotonicClock;
import org.standlink.log.LogFollower;
import org.standlink.policy.RetryBudget;
import org.standlink.policy.TwoChoicesRouting;
import org.standlink.port.HttpLog;
import org.standlink.port.HttpVmList;
import org.standlink.port.JsonHttpClient;
import org.standlink.port.LogPort;
import org.standlink.port.VmListPort;
import org.standlink.process.Guarded;
import org.standlink.process.Timers;
import org.standlink.process.WorkFailures;
import org.standlink.wire.BundleAnswer;
import org.standlink.wire.BundleQuery;
import org.standlink.wire.Message;
import org.standlink.wire.PeerConnection;

/**
 * A running entry: creates its components and calls them periodically.
 *
 * <p>{@code EntryProcess} is thread-safe.
 */
public final class EntryProcess implements AutoCloseable {

    private static final System.Logger LOGGER = System.getLogger(EntryProcess.class.getName());

    /** The interval between reads of the log, in milliseconds. */
    private static final long LOG_READ_INTERVAL_MILLIS = 500;

    /** The interval between checks for missing connections, in milliseconds. */
    private static final long CONNECT_INTERVAL_MILLIS = 250;

    /** The interval between reads of the VM list, in milliseconds. */
    private static final long VM_LIST_INTERVAL_MILLIS = 1000;

    /** The timeout of a query for a bundle to a peer, in milliseconds. */
    private static final long BUNDLE_TIMEOUT_MILLIS = 2000;

    private final EntrySettings settings;
    private final Timers timers;
    private final ExecutorService executor;

    /** Holds the bundle in force. */
    private final BundleHolder holder = new BundleHolder();

    private final LogPort log;

    private final VmListPort vmList;

    /** Reads the log and maintains the state that it describes. */
    private final LogFollower follower;

    /** The agents to which this entry is connected. */
    private final UpstreamDirectory directory;

    private final CallerServer server;

    private final MonotonicClock clock = MonotonicClock.ofSystem();

    /** Whether a planned stop is in progress. */
    private volatile boolean leaving;

    /**
     * Creates and starts an entry.
     *
     * @param settings the settings
     * @param executor runs connections to agents and to the platform
     * @param callers runs the requests of callers
     * @param scheduler runs the periodic work
     * @param registry the registry for metrics
     */
    public EntryProcess(
            EntrySettings settings,
            ExecutorService executor,
            ExecutorService callers,
            ScheduledExecutorService scheduler,
            MeterRegistry registry) {
        this.settings = settings;
        this.executor = executor;
        this.timers = new Timers(scheduler, registry, "standlink.entry.failures");
        HttpClient client = JsonHttpClient.newClient(executor);
        JsonHttpClient platform = new JsonHttpClient(settings.platform(), client);
        this.log = new HttpLog(platform);
        this.vmList = new HttpVmList(platform);
        this.follower = new LogFollower(log, (record, refusal) -> {});
        this.directory = new UpstreamDirectory(executor, holder);
        RequestRouter router =
                new RequestRouter(
                        Incarnation.ofRandom(),
                        settings.hall(),
                        directory,
                        new TwoChoicesRouting(new SecureRandom()),
                        new RetryBudget(settings.retryShare() / 100.0),
                        clock,
                        registry);
        this.server = new CallerServer(settings.listen(), callers, router, holder, clock, registry);
        WorkFailures.registerCounter(registry);
        registry.gauge("standlink.entry.in.progress", server, CallerServer::getInProgress);
        registry.gauge(
                "standlink.entry.bundle.version",
                holder,
                current -> current.getVersion().getValue());
        timers.scheduleRepeating("log", LOG_READ_INTERVAL_MILLIS, this::readLog);
        timers.scheduleRepeating("connect", CONNECT_INTERVAL_MILLIS, directory::connectAll);
        timers.scheduleRepeating(
                "list", VM_LIST_INTERVAL_MILLIS, () -> directory.setListedVms(vmList.list()));
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the bundle in force.
     *
     * @return the holder
     */
    public BundleHolder getBundleHolder() {
        return holder;
    }

    /**
     * Gets the follower of the log, which maintains the state that the log describes.
     *
     * @return the follower
     */
    public LogFollower getFollower() {
        return follower;
    }

    /**
     * Gets the platform's log.
     *
     * @return the log
     */
    public LogPort getLog() {
        return log;
    }

    /**
     * Gets the directory of the agents.
     *
     * @return the directory
     */
    public UpstreamDirectory getDirectory() {
        return directory;
    }

    /**
     * Gets the port on which the server for callers listens.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Checks whether the entry is ready for requests.
     *
     * @return true if it has a bundle and no planned stop is in progress
     */
    public boolean isReady() {
        return holder.getBundle() != null && !leaving;
    }

    /**
     * Performs a planned stop: asks callers to connect to another entry, waits until the requests
     * in progress have ended, and closes this entry.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain() throws InterruptedException {
        LOGGER.log(System.Logger.Level.INFO, "leaving: callers are asked to connect elsewhere");
        leaving = true;
        server.leave();
        server.awaitEnd(settings.drainMillis());
        close();
    }

    @Override
    public void close() {
        server.close();
        timers.close();
        directory.close();
    }

    // -----------------------------------------------------------------------
    private void readLog() {
        try {
            follower.poll();
            follower.read(
                    state ->
                            holder.offer(
                                    state.getBundles().getSignedText(),
                                    state.getBundles().getVersion()));
        } catch (StandlinkException unavailable) {
            queryPeers();
            throw unavailable;
        }
    }

    private void queryPeers() {
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            settings.seeds()
                    .forEach(
                            seed ->
                                    querySeed(
                                            new PeerConnection(
                                                    () -> seed, executor, (c, n, m) -> {})));
            return;
        }
        List<VmId> vms =
                bundle.services().stream().flatMap(s -> s.upstreams().stream()).distinct().toList();
        int index = (int) Math.floorMod(clock.nowMillis(), (long) Math.max(1, vms.size()));
        if (!vms.isEmpty()) {
            queryIfConnected(directory.getPeer(vms.get(index)));
        }
    }

    private void querySeed(PeerConnection peer) {
        query(peer, peer::close);
    }

    private void queryIfConnected(PeerConnection peer) {
        if (peer.getOpenConnection() != null) {
            query(peer, () -> {});
        }
    }

    private void query(PeerConnection peer, Runnable completion) {
        Guarded.onCompletion(
                "bundle-query",
                peer.call(new BundleQuery(holder.getVersion()), BUNDLE_TIMEOUT_MILLIS),
                (answer, failure) -> {
                    completion.run();
                    offer(answer);
                });
    }

    private void offer(Message answer) {
        if (answer instanceof BundleAnswer bundle) {
            holder.offer(bundle.signedBundle(), bundle.version());
        }
    }
}
