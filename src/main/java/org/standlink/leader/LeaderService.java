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
 * Runs the leader role of one cell inside an agent: claims the leadership, reads the log and
 * appends decisions to it.
 *
 * <p>{@code LeaderService} is thread-safe. Heartbeats are answered without waiting for the log.
 */
public final class LeaderService {

    private static final System.Logger LOGGER = System.getLogger(LeaderService.class.getName());

    /** The number of snapshots taken within the retention period of the log. */
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    /** How long a claim is announced to the agents, in milliseconds. */
    private static final long ANNOUNCE_MILLIS = 2_000;

    /** The minimum interval between two appends of decisions, in milliseconds. */
    private static final long MIN_APPEND_INTERVAL_MILLIS = 900;

    private final CellId cell;

    /** The VM of this process. */
    private final VmId self;

    /** The incarnation of this process. */
    private final Incarnation incarnation;

    private final LogPort log;
    private final LogFollower follower;

    /** Holds the bundle in force in this process. */
    private final BundleHolder holder;

    private final LeaseTimes times;

    /** The retention period of the log, in milliseconds. */
    private final long retentionMillis;

    private final MonotonicClock clock;

    /** Supplies the hour of the day, UTC. */
    private final IntSupplier hourOfDay;

    private final Counter appends;

    /** Counts appends that failed or whose outcome is unknown. */
    private final Counter appendFailures;

    /** The leader, null while this process does not lead. */
    private BundleCellLeader leader;

    /** The sequence number of the last append. */
    private long sequence;

    /** When decisions were last appended, in milliseconds. */
    private long appendedMillis;

    /** When the announcements to the agents end, in milliseconds. */
    private long announceUntilMillis;

    /** When the last snapshot was taken, in milliseconds. */
    private long snapshotMillis;

    /**
     * Creates the service, which does not lead until {@link #claim} succeeds.
     *
     * @param cell the cell
     * @param self the VM of this process
     * @param incarnation the incarnation of this process
     * @param log the log
     * @param follower holds the folded state of the log
     * @param holder holds the bundle in force in this process
     * @param times the lengths of the leases
     * @param retentionMillis the retention period of the log, in milliseconds
     * @param clock the clock
     * @param hourOfDay supplies the hour of the day, UTC
     * @param registry the registry of the counters
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
     *     LOG_GAP; a claim whose outcome is unknown may still take effect, which {@link #runOnce}
     *     detects
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
     * Reads the log, assumes or relinquishes the leadership accordingly, and appends new decisions.
     *
     * @throws StandlinkException with code PLATFORM_UNAVAILABLE or PLATFORM_OUTCOME_UNKNOWN
     */
    public void runOnce() {
        long readStart = clock.nowMillis();
        follower.poll();
        follower.read(fold -> holder.offer(fold.getBundles().getSignedText(), versionOf(fold)));
        updateRole(readStart);
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
                                fold.getCellState(cell),
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
        return leader != null
                && follower.read(fold -> leader.isLeading(fold.getCellState(cell), now));
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
     * Checks whether the leadership should be announced to the agents, which is the case for some
     * time after a claim.
     *
     * @return true if an announcement is due
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
                fold ->
                        CellStatus.describe(
                                leader, fold.getCellState(cell), holder.getBundle(), now));
    }

    // -----------------------------------------------------------------------
    private Epoch nextEpoch(LogFold fold) {
        if (!fold.isCellKnown(cell)) {
            throw new StandlinkException(
                    ErrorCode.LOG_GAP,
                    "the log has dropped records of cell '" + cell + "'",
                    "wait for a snapshot, or see 'The log has dropped records' in OPERATIONS.md");
        }
        return fold.getCellState(cell).getEpoch().next();
    }

    private synchronized void updateRole(long readStart) {
        CellState state = follower.read(fold -> fold.getCellState(cell));
        boolean claimedHere = incarnation.equals(state.getIncarnation());
        if (!claimedHere || leader != null && !leader.getEpoch().equals(state.getEpoch())) {
            relinquishLeadership();
        }
        if (claimedHere && leader == null) {
            assumeLeadership(state, readStart);
        }
        if (leader != null) {
            leader.confirmEpoch(readStart);
        }
    }

    private void assumeLeadership(CellState state, long readStart) {
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

    private void relinquishLeadership() {
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
        if (now < appendedMillis + MIN_APPEND_INTERVAL_MILLIS) {
            return null;
        }
        List<TaskEvent> events =
                follower.read(fold -> leader.decide(fold.getCellState(cell), bundle, now));
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
            snapshot = follower.read(this::createSnapshot);
        }
        append(snapshot);
    }

    private LogRecord createSnapshot(LogFold fold) {
        Bundle bundle = fold.getBundles().getBundle();
        boolean withBundle =
                bundle != null
                        && !bundle.cells().isEmpty()
                        && bundle.cells().get(0).id().equals(cell);
        String text = withBundle ? fold.getBundles().getSignedText() : null;
        return fold.getCellState(cell).createSnapshot(fold.getNextOffset() - 1, text);
    }

    private void append(LogRecord record) {
        try {
            log.append(RecordCodec.encode(record));
            appends.increment();
        } catch (StandlinkException failure) {
            // The folded state shows whether the append took effect; pending decisions are proposed
            // again.
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
