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
package org.standlink.agent;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.bundle.CellSpecification;
import org.standlink.bundle.WorkerSpecification;
import org.standlink.json.Addresses;
import org.standlink.leader.LeaderService;
import org.standlink.lease.MonotonicClock;
import org.standlink.log.CellState;
import org.standlink.log.LogFollower;
import org.standlink.port.LogPort;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.LeaderAnnouncement;
import org.standlink.wire.Message;
import org.standlink.wire.MessageHandler;
import org.standlink.wire.PeerConnection;
import org.standlink.wire.Refusal;
import org.standlink.wire.StatusAnswer;
import org.standlink.wire.StatusQuery;

/**
 * The part of an agent that concerns leadership: it finds the leader, sends messages to it, and
 * claims leadership when it is unresponsive.
 *
 * <p>An agent that does not lead reads the log only at its start and while the leader is
 * unresponsive.
 *
 * <p>{@code LeaderRole} is thread-safe.
 */
final class LeaderRole implements AutoCloseable {

    private static final System.Logger LOGGER = System.getLogger(LeaderRole.class.getName());

    /** The minimum interval between reads of the log while no leader responds, in milliseconds. */
    private static final long LOG_READ_INTERVAL_MILLIS = 500;

    private final AgentSettings settings;
    private final Incarnation incarnation;
    private final LogPort log;
    private final LogFollower follower;
    private final BundleHolder holder;
    private final MonotonicClock clock;
    private final ExecutorService executor;
    private final MessageHandler handler;
    private final MeterRegistry registry;
    private final LeaderTracker leaderTracker;

    /** The connections to the other agents of the cell. */
    private final Map<VmId, PeerConnection> peers = new ConcurrentHashMap<>();

    /** The leader service, null until the cell is known. */
    private volatile LeaderService service;

    /** Whether the log has been read to its end since the start. */
    private volatile boolean logRead;

    /** When the log may be read next while no leader responds, in milliseconds. */
    private volatile long nextLogReadMillis = Long.MIN_VALUE;

    /**
     * Creates an instance without a known leader.
     *
     * @param settings the settings
     * @param incarnation the incarnation of this process
     * @param log the platform's log
     * @param holder holds the bundle in force
     * @param clock the clock
     * @param executor the executor for connections and announcements
     * @param handler the handler of messages on the connections to other agents
     * @param registry the registry for counters
     */
    LeaderRole(
            AgentSettings settings,
            Incarnation incarnation,
            LogPort log,
            BundleHolder holder,
            MonotonicClock clock,
            ExecutorService executor,
            MessageHandler handler,
            MeterRegistry registry) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.log = log;
        this.follower = new LogFollower(log, (record, refusal) -> {});
        this.holder = holder;
        this.clock = clock;
        this.executor = executor;
        this.handler = handler;
        this.registry = registry;
        this.leaderTracker =
                new LeaderTracker(settings.vm(), settings.claimAfterMillis(), clock.nowMillis());
    }

    // -----------------------------------------------------------------------
    /**
     * Performs what is due: runs the leader service, or reads the log for the leader and claims
     * leadership.
     *
     * @param leaving whether the VM is leaving, so that this agent must not claim
     */
    void tick(boolean leaving) {
        long nowMillis = clock.nowMillis();
        LeaderService leaderService = service;
        if (leaderService != null && !leaderService.getEpoch().equals(Epoch.NONE)) {
            leaderService.runOnce();
            updateLeader(leaderService);
            announce(leaderService);
        } else if (nowMillis >= nextLogReadMillis
                && (!logRead || leaderTracker.isLeaderUnresponsive(nowMillis))) {
            nextLogReadMillis = nowMillis + LOG_READ_INTERVAL_MILLIS;
            findOrClaimLeader(leaving);
        }
    }

    /**
     * Checks whether heartbeats can be sent.
     *
     * @return true once the log has been read since the start and a leader is known
     */
    boolean isLeaderKnown() {
        return logRead && leaderTracker.getLeader() != null;
    }

    /**
     * Sends a heartbeat to the leader.
     *
     * @param heartbeat the heartbeat
     * @return the answer
     * @throws StandlinkException with code LEASE_LAPSED or PEER_UNREACHABLE
     */
    Message send(Heartbeat heartbeat) {
        VmId leader = leaderTracker.getLeader();
        if (leader.equals(settings.vm())) {
            return answer(heartbeat);
        }
        return getOrCreatePeer(leader).call(heartbeat, settings.times().nodeMillis() / 2).join();
    }

    /**
     * Records an answer of the leader.
     *
     * @param answer the answer
     */
    void answerReceived(HeartbeatAnswer answer) {
        leaderTracker.answerReceived(answer.logAgeMillis(), clock.nowMillis());
    }

    /**
     * Updates the leader from an announcement.
     *
     * @param announcement the announcement
     */
    void announcementReceived(LeaderAnnouncement announcement) {
        leaderTracker.update(announcement.epoch(), announcement.leader(), clock.nowMillis());
    }

    /**
     * Gets the highest known epoch.
     *
     * @return the epoch
     */
    Epoch getEpoch() {
        return leaderTracker.getEpoch();
    }

    /**
     * Answers a heartbeat, if this agent leads.
     *
     * @param heartbeat the heartbeat
     * @return the answer, or a refusal
     */
    Message answer(Heartbeat heartbeat) {
        LeaderService leaderService = service;
        try {
            return leaderService == null
                    ? createNotLeadingRefusal()
                    : leaderService.handleHeartbeat(heartbeat);
        } catch (StandlinkException refused) {
            return new Refusal(refused.getCode(), refused.getMessage());
        }
    }

    /**
     * Answers a query for the state of the cell, if this agent leads.
     *
     * @param query the query
     * @return the answer, or a refusal
     */
    Message answer(StatusQuery query) {
        LeaderService leaderService = service;
        try {
            boolean leadsCell =
                    leaderService != null && leaderService.getCell().equals(query.cell());
            return leadsCell
                    ? new StatusAnswer(leaderService.getStatus())
                    : createNotLeadingRefusal();
        } catch (StandlinkException refused) {
            return new Refusal(refused.getCode(), refused.getMessage());
        }
    }

    @Override
    public void close() {
        peers.values().forEach(PeerConnection::close);
    }

    // -----------------------------------------------------------------------
    private Refusal createNotLeadingRefusal() {
        return new Refusal(ErrorCode.LEASE_LAPSED, "'" + settings.vm() + "' does not lead");
    }

    private void findOrClaimLeader(boolean leaving) {
        follower.poll();
        follower.read(
                fold ->
                        holder.offer(
                                fold.getBundles().getSignedText(), fold.getBundles().getVersion()));
        Bundle bundle = holder.getBundle();
        CellSpecification cell =
                bundle == null ? null : bundle.findCellOf(settings.vm()).orElse(null);
        if (cell == null) {
            return;
        }
        LeaderService leaderService = getOrCreateService(cell);
        updateLeader(leaderService);
        logRead = true;
        if (!leaving && leaderTracker.isClaimDue(cell, clock.nowMillis())) {
            leaderTracker.claimStarted(clock.nowMillis());
            leaderService.claim();
            updateLeader(leaderService);
            announce(leaderService);
        }
    }

    private LeaderService getOrCreateService(CellSpecification cell) {
        LeaderService leaderService = service;
        if (leaderService == null) {
            leaderService =
                    new LeaderService(
                            cell.id(),
                            settings.vm(),
                            incarnation,
                            log,
                            follower,
                            holder,
                            settings.times(),
                            settings.logRetentionMillis(),
                            clock,
                            () -> LocalTime.now(ZoneOffset.UTC).getHour(),
                            registry);
            service = leaderService;
        }
        return leaderService;
    }

    private void updateLeader(LeaderService leaderService) {
        CellState state = follower.read(fold -> fold.getCellState(leaderService.getCell()));
        if (leaderTracker.update(state.getEpoch(), state.getLeader(), clock.nowMillis())) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    "cell {0} is led by {1} under epoch {2}",
                    leaderService.getCell(),
                    leaderTracker.getLeader(),
                    leaderTracker.getEpoch());
        }
    }

    private void announce(LeaderService leaderService) {
        if (!leaderService.isLeading() || !leaderService.isAnnouncementDue()) {
            return;
        }
        LeaderAnnouncement announcement =
                new LeaderAnnouncement(
                        leaderService.getCell(), leaderService.getEpoch(), settings.vm());
        CellSpecification cell = holder.getBundle().findCell(leaderService.getCell()).orElse(null);
        if (cell != null) {
            cell.workers().stream()
                    .map(WorkerSpecification::vm)
                    .filter(vm -> !vm.equals(settings.vm()))
                    .forEach(vm -> executor.execute(() -> sendAnnouncement(vm, announcement)));
        }
    }

    private void sendAnnouncement(VmId vm, LeaderAnnouncement announcement) {
        try {
            getOrCreatePeer(vm).connect().send(announcement);
        } catch (StandlinkException unreachable) {
            registry.counter("standlink.agent.announcements.lost").increment();
        }
    }

    private PeerConnection getOrCreatePeer(VmId vm) {
        return peers.computeIfAbsent(
                vm, key -> new PeerConnection(() -> findAddress(key), executor, handler));
    }

    private java.net.InetSocketAddress findAddress(VmId vm) {
        return holder.getBundle()
                .findWorker(vm)
                .map(worker -> Addresses.parse(worker.address()))
                .orElse(null);
    }
}
