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
package org.standlink.leader;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.function.IntSupplier;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.lease.LeaseTimes;
import org.standlink.lease.MonotonicClock;
import org.standlink.log.BundleTaskRecord;
import org.standlink.log.CellState;
import org.standlink.log.ClaimRecord;
import org.standlink.log.LogFold;
import org.standlink.log.LogFollower;
import org.standlink.log.LogRecord;
import org.standlink.log.RecordCodec;
import org.standlink.log.TaskEvent;
import org.standlink.port.LogPort;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;

/**
 * Runs the leader role of one cell inside an agent: claims, reads and appends to the log.
 *
 * <p>{@code LeaderService} is thread-safe. Heartbeats are answered without waiting for the log.
 */
public final class LeaderService {

    /** The log of changes of state. */
    private static final System.Logger LOGGER = System.getLogger(LeaderService.class.getName());

    /** How many snapshots are taken within the time that the log keeps records. */
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    /** How long after a claim the agents are told of it, in milliseconds. */
    private static final long ANNOUNCE_MILLIS = 2_000;

    /** The least time between two appends, in milliseconds. */
    private static final long APPEND_MILLIS = 900;

    /** The cell. */
    private final CellId cell;

    /** This VM. */
    private final VmId self;

    /** The run of this process. */
    private final Incarnation incarnation;

    /** The log. */
    private final LogPort log;

    /** The fold of the log. */
    private final LogFollower follower;

    /** The bundle in force in this process. */
    private final BundleHolder holder;

    /** The lengths of leases. */
    private final LeaseTimes times;

    /** How long the log keeps records, in milliseconds. */
    private final long retentionMillis;

    /** The clock. */
    private final MonotonicClock clock;

    /** Tells the hour of the day, UTC. */
    private final IntSupplier hourOfDay;

    /** Records appended. */
    private final Counter appends;

    /** Appends that failed or whose outcome is not known. */
    private final Counter appendFailures;

    /** The leader, null while this process does not lead. */
    private BundleCellLeader leader;

    /** The sequence of the last append. */
    private long sequence;

    /** When the last append was made, in milliseconds. */
    private long appendedMillis;

    /** Until when the agents are told who leads, in milliseconds. */
    private long announceUntilMillis;

    /** When the last snapshot was taken, in milliseconds. */
    private long snapshotMillis;

    /**
     * Constructor.
     *
     * @param cell the cell
     * @param self this VM
     * @param incarnation the run of this process
     * @param log the log
     * @param follower the fold of the log
     * @param holder the bundle in force in this process
     * @param times the lengths of leases
     * @param retentionMillis how long the log keeps records, in milliseconds
     * @param clock the clock
     * @param hourOfDay tells the hour of the day, UTC
     * @param registry where counters go
     */
    public LeaderService(
            CellId cell,
            VmId self,
            Incarnation incarnation,
            LogPort log,
            LogFollower follower,
            BundleHolder holder,
            LeaseTimes times,
            long retentionMillis,
            MonotonicClock clock,
            IntSupplier hourOfDay,
            MeterRegistry registry) {
        this.cell = cell;
        this.self = self;
        this.incarnation = incarnation;
        this.log = log;
        this.follower = follower;
        this.holder = holder;
        this.times = times;
        this.retentionMillis = retentionMillis;
        this.clock = clock;
        this.hourOfDay = hourOfDay;
        this.appends = registry.counter("standlink.leader.appends");
        this.appendFailures = registry.counter("standlink.leader.append.failures");
    }

    // -----------------------------------------------------------------------
    /**
     * Claims the leadership of the cell, if the log can be read and its state is known.
     *
     * @throws StandlinkException with code PLATFORM_UNAVAILABLE, PLATFORM_OUTCOME_UNKNOWN or
     *     LOG_GAP; a claim whose outcome is not known may still hold and is found by {@link
     *     #runOnce}
     */
    public void claim() {
        follower.poll();
        Epoch next = follower.read(this::nextEpoch);
        log.append(
                RecordCodec.encode(
                        new ClaimRecord(RecordCodec.newId(), cell, next, self, incarnation)));
        runOnce();
    }

    /**
     * Reads the log, takes up or lays down the role as the log says, and appends what is decided.
     *
     * @throws StandlinkException with code PLATFORM_UNAVAILABLE or PLATFORM_OUTCOME_UNKNOWN
     */
    public void runOnce() {
        long readStart = clock.nowMillis();
        follower.poll();
        follower.read(fold -> holder.offer(fold.getBundles().getSignedText(), versionOf(fold)));
        follow(readStart);
        BundleTaskRecord record = decide();
        if (record != null) {
            append(record);
            follower.poll();
        }
        snapshotIfDue();
    }

    /**
     * Answers a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return the answer
     * @throws StandlinkException with code LEASE_LAPSED if this process may not act as leader
     */
    public synchronized HeartbeatAnswer handleHeartbeat(Heartbeat heartbeat) {
        if (leader == null) {
            throw notLeading();
        }
        long now = clock.nowMillis();
        return follower.read(
                fold ->
                        leader.handleHeartbeat(
                                heartbeat,
                                fold.getCell(cell),
                                holder.getBundle(),
                                holder.getSignedText(),
                                now));
    }

    /**
     * Checks whether this process leads the cell.
     *
     * @return true if it may act as leader now
     */
    public synchronized boolean isLeading() {
        long now = clock.nowMillis();
        return leader != null && follower.read(fold -> leader.isLeading(fold.getCell(cell), now));
    }

    /**
     * Gets the epoch under which this process leads.
     *
     * @return the epoch, NONE if it does not lead
     */
    public synchronized Epoch getEpoch() {
        return leader == null ? Epoch.NONE : leader.getEpoch();
    }

    /**
     * Checks whether the agents should be told who leads, which is due for a while after a claim.
     *
     * @return true if so
     */
    public synchronized boolean isAnnouncementDue() {
        return leader != null && clock.nowMillis() < announceUntilMillis;
    }

    /**
     * Gets the cell.
     *
     * @return the cell
     */
    public CellId getCell() {
        return cell;
    }

    /**
     * Describes the cell for operators.
     *
     * @return the status, as a JSON text
     * @throws StandlinkException with code LEASE_LAPSED if this process may not act as leader
     */
    public synchronized String getStatus() {
        if (leader == null) {
            throw notLeading();
        }
        long now = clock.nowMillis();
        return follower.read(
                fold -> CellStatus.describe(leader, fold.getCell(cell), holder.getBundle(), now));
    }

    // -----------------------------------------------------------------------
    private Epoch nextEpoch(LogFold fold) {
        if (!fold.isKnown(cell)) {
            throw new StandlinkException(
                    ErrorCode.LOG_GAP,
                    "the log has dropped records of cell '" + cell + "'",
                    "wait for a snapshot, or see 'The log has dropped records' in OPERATIONS.md");
        }
        return fold.getCell(cell).getEpoch().next();
    }

    private synchronized void follow(long readStart) {
        CellState state = follower.read(fold -> fold.getCell(cell));
        boolean mine = incarnation.equals(state.getIncarnation());
        if (!mine || leader != null && !leader.getEpoch().equals(state.getEpoch())) {
            layDown();
        }
        if (mine && leader == null) {
            takeUp(state, readStart);
        }
        if (leader != null) {
            leader.confirmEpoch(readStart);
        }
    }

    private void takeUp(CellState state, long readStart) {
        CellPlanner planner = new CellPlanner(cell, hourOfDay);
        long claimed = clock.nowMillis();
        leader =
                new BundleCellLeader(
                        state.getEpoch(), incarnation, times, planner, claimed, readStart);
        sequence = state.getSequence();
        announceUntilMillis = clock.nowMillis() + ANNOUNCE_MILLIS;
        snapshotMillis = readStart - retentionMillis;
        LOGGER.log(
                System.Logger.Level.INFO,
                "leading cell {0} under epoch {1}",
                cell,
                state.getEpoch());
    }

    private void layDown() {
        if (leader != null) {
            LOGGER.log(
                    System.Logger.Level.INFO,
                    "no longer leading cell {0} under epoch {1}",
                    cell,
                    leader.getEpoch());
            leader = null;
        }
    }

    private synchronized BundleTaskRecord decide() {
        Bundle bundle = holder.getBundle();
        long now = clock.nowMillis();
        if (leader == null || bundle == null || bundle.findCell(cell).isEmpty()) {
            return null;
        }
        if (now < appendedMillis + APPEND_MILLIS) {
            return null;
        }
        List<TaskEvent> events =
                follower.read(fold -> leader.decide(fold.getCell(cell), bundle, now));
        if (events.isEmpty()) {
            return null;
        }
        appendedMillis = now;
        sequence++;
        return new BundleTaskRecord(RecordCodec.newId(), cell, leader.getEpoch(), sequence, events);
    }

    private void snapshotIfDue() {
        long now = clock.nowMillis();
        LogRecord snapshot;
        synchronized (this) {
            boolean due = now >= snapshotMillis + retentionMillis / SNAPSHOTS_PER_RETENTION;
            if (leader == null || !due) {
                return;
            }
            snapshotMillis = now;
            snapshot = follower.read(this::snapshot);
        }
        append(snapshot);
    }

    private LogRecord snapshot(LogFold fold) {
        Bundle bundle = fold.getBundles().getBundle();
        boolean carries =
                bundle != null
                        && !bundle.cells().isEmpty()
                        && bundle.cells().get(0).id().equals(cell);
        String text = carries ? fold.getBundles().getSignedText() : null;
        return fold.getCell(cell).snapshot(fold.getNext() - 1, text);
    }

    private void append(LogRecord record) {
        try {
            log.append(RecordCodec.encode(record));
            appends.increment();
        } catch (StandlinkException failure) {
            // The fold shows whether it landed; what is still due is proposed again.
            appendFailures.increment();
            throw failure;
        }
    }

    private static BundleVersion versionOf(LogFold fold) {
        return fold.getBundles().getVersion();
    }

    private StandlinkException notLeading() {
        return new StandlinkException(
                ErrorCode.LEASE_LAPSED,
                "'" + self + "' does not lead cell '" + cell + "'",
                "read the log to learn who does");
    }
}
