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
 * What an agent does about leadership: it finds the leader, sends to it, and becomes it when it is
 * silent.
 *
 * <p>An agent that does not lead reads the log only at its start and while its leader is silent.
 *
 * <p>{@code LeaderRole} is thread-safe.
 */
final class LeaderRole implements AutoCloseable {

    /** The log of changes of state. */
    private static final System.Logger LOGGER = System.getLogger(LeaderRole.class.getName());

    /** The least time between two readings of the log while there is no leader, in milliseconds. */
    private static final long READ_MILLIS = 500;

    /** The settings. */
    private final AgentSettings settings;

    /** The run of this process. */
    private final Incarnation incarnation;

    /** The platform's log. */
    private final LogPort log;

    /** The fold of the log. */
    private final LogFollower follower;

    /** The bundle in force. */
    private final BundleHolder holder;

    /** The clock. */
    private final MonotonicClock clock;

    /** Where threads come from. */
    private final ExecutorService executor;

    /** What answers messages on the connections made from here. */
    private final MessageHandler handler;

    /** Where counters go. */
    private final MeterRegistry registry;

    /** Who leads. */
    private final LeaderTracker finder;

    /** The other agents of the cell. */
    private final Map<VmId, PeerConnection> peers = new ConcurrentHashMap<>();

    /** The leader's work, null until the cell is known. */
    private volatile LeaderService service;

    /** Whether the log was read to its end since the start. */
    private volatile boolean logRead;

    /** When the log may be read again while there is no leader, in milliseconds. */
    private volatile long nextReadMillis = Long.MIN_VALUE;

    /**
     * Constructor.
     *
     * @param settings the settings
     * @param incarnation the run of this process
     * @param log the platform's log
     * @param holder the bundle in force
     * @param clock the clock
     * @param executor where threads come from
     * @param handler what answers messages on the connections made from here
     * @param registry where counters go
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
        this.finder =
                new LeaderTracker(settings.vm(), settings.claimAfterMillis(), clock.nowMillis());
    }

    // -----------------------------------------------------------------------
    /**
     * Does what is due: leads, or looks for the leader, or replaces it.
     *
     * @param leaving whether the VM is leaving, so that it must not become leader
     */
    void tick(boolean leaving) {
        long now = clock.nowMillis();
        LeaderService present = service;
        if (present != null && !present.getEpoch().equals(Epoch.NONE)) {
            present.runOnce();
            learn(present);
            announce(present);
        } else if (now >= nextReadMillis && (!logRead || finder.isLeaderUnresponsive(now))) {
            nextReadMillis = now + READ_MILLIS;
            lookForLeader(leaving);
        }
    }

    /**
     * Checks whether heartbeats can be sent.
     *
     * @return true once the log was read since the start and a leader is known
     */
    boolean isLeaderKnown() {
        return logRead && finder.getLeader() != null;
    }

    /**
     * Sends a heartbeat to the leader.
     *
     * @param heartbeat the heartbeat
     * @return the answer
     * @throws StandlinkException with code LEASE_LAPSED or PEER_UNREACHABLE
     */
    Message send(Heartbeat heartbeat) {
        VmId leader = finder.getLeader();
        if (leader.equals(settings.vm())) {
            return answer(heartbeat);
        }
        return peer(leader).call(heartbeat, settings.times().nodeMillis() / 2).join();
    }

    /**
     * Notes an answer of the leader.
     *
     * @param answer the answer
     */
    void answerReceived(HeartbeatAnswer answer) {
        finder.answerReceived(answer.logAgeMillis(), clock.nowMillis());
    }

    /**
     * Hears who leads.
     *
     * @param news the announcement
     */
    void announcementReceived(LeaderAnnouncement news) {
        finder.update(news.epoch(), news.leader(), clock.nowMillis());
    }

    /**
     * Gets the highest epoch heard of.
     *
     * @return the epoch
     */
    Epoch getEpoch() {
        return finder.getEpoch();
    }

    /**
     * Answers a heartbeat, if this agent leads.
     *
     * @param heartbeat the heartbeat
     * @return the answer, or a refusal
     */
    Message answer(Heartbeat heartbeat) {
        LeaderService present = service;
        try {
            return present == null ? notLeading() : present.handleHeartbeat(heartbeat);
        } catch (StandlinkException refused) {
            return new Refusal(refused.getCode(), refused.getMessage());
        }
    }

    /**
     * Answers how the cell stands, if this agent leads.
     *
     * @param query the question
     * @return the answer, or a refusal
     */
    Message answer(StatusQuery query) {
        LeaderService present = service;
        try {
            boolean mine = present != null && present.getCell().equals(query.cell());
            return mine ? new StatusAnswer(present.getStatus()) : notLeading();
        } catch (StandlinkException refused) {
            return new Refusal(refused.getCode(), refused.getMessage());
        }
    }

    @Override
    public void close() {
        peers.values().forEach(PeerConnection::close);
    }

    // -----------------------------------------------------------------------
    private Refusal notLeading() {
        return new Refusal(ErrorCode.LEASE_LAPSED, "'" + settings.vm() + "' does not lead");
    }

    private void lookForLeader(boolean leaving) {
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
        LeaderService present = serviceOf(cell);
        learn(present);
        logRead = true;
        if (!leaving && finder.isClaimDue(cell, clock.nowMillis())) {
            finder.claimStarted(clock.nowMillis());
            present.claim();
            learn(present);
            announce(present);
        }
    }

    private LeaderService serviceOf(CellSpecification cell) {
        LeaderService present = service;
        if (present == null) {
            present =
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
            service = present;
        }
        return present;
    }

    private void learn(LeaderService present) {
        CellState state = follower.read(fold -> fold.getCell(present.getCell()));
        if (finder.update(state.getEpoch(), state.getLeader(), clock.nowMillis())) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    "cell {0} is led by {1} under epoch {2}",
                    present.getCell(),
                    finder.getLeader(),
                    finder.getEpoch());
        }
    }

    private void announce(LeaderService present) {
        if (!present.isLeading() || !present.isAnnouncementDue()) {
            return;
        }
        LeaderAnnouncement news =
                new LeaderAnnouncement(present.getCell(), present.getEpoch(), settings.vm());
        CellSpecification cell = holder.getBundle().findCell(present.getCell()).orElse(null);
        if (cell != null) {
            cell.workers().stream()
                    .map(WorkerSpecification::vm)
                    .filter(vm -> !vm.equals(settings.vm()))
                    .forEach(vm -> executor.execute(() -> tell(vm, news)));
        }
    }

    private void tell(VmId vm, LeaderAnnouncement news) {
        try {
            peer(vm).connect().send(news);
        } catch (StandlinkException unreachable) {
            registry.counter("standlink.agent.announcements.lost").increment();
        }
    }

    private PeerConnection peer(VmId vm) {
        return peers.computeIfAbsent(
                vm, key -> new PeerConnection(() -> addressOf(key), executor, handler));
    }

    private java.net.InetSocketAddress addressOf(VmId vm) {
        return holder.getBundle()
                .findWorker(vm)
                .map(worker -> Addresses.parse(worker.address()))
                .orElse(null);
    }
}
