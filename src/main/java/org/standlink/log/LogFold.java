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
package org.standlink.log;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.JobId;
import org.standlink.StandlinkException;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleFold;
import org.standlink.bundle.JobSpecification;
import org.standlink.port.LogEntry;

/**
 * Folds the records of the log, in order, into the bundle in force and the state of each cell.
 *
 * <p>A fold that starts at offset 0 has the complete state. A fold that starts later has the bundle
 * or the state of a cell only after a snapshot of it; it also has the state of a cell from the
 * first claim of that cell on.
 *
 * <p>{@code LogFold} is mutable and not thread-safe; its owner guards it.
 */
public final class LogFold {

    /** Receives the decisions on published bundles. */
    @FunctionalInterface
    public interface PublicationListener {

        /**
         * Called when a published bundle is accepted or refused.
         *
         * @param recordId the id of the record
         * @param refusal the reason if the bundle was refused, null if it was accepted
         */
        void publicationDecided(String recordId, StandlinkException refusal);
    }

    private final BundleFold bundles = new BundleFold();

    private final Map<CellId, CellState> cells = new HashMap<>();

    /** The offset up to which a snapshot covers each cell, inclusive. */
    private final Map<CellId, Long> cellSnapshotOffsets = new HashMap<>();

    /** The cells whose state is known though the fold did not start at offset 0. */
    private final Set<CellId> knownCells = new HashSet<>();

    private final PublicationListener listener;

    /** Whether the fold started at offset 0, so that anything it has not read does not exist. */
    private final boolean startsAtZero;

    private boolean bundleKnown;

    /** The offset up to which a snapshot covers the bundle, inclusive; -1 if none does. */
    private long bundleSnapshotOffset = -1;

    private long nextOffset;

    /**
     * Creates a fold without state.
     *
     * @param firstOffset the offset of the first record to fold
     * @param listener receives the decisions on published bundles
     */
    public LogFold(long firstOffset, PublicationListener listener) {
        this.nextOffset = firstOffset;
        this.startsAtZero = firstOffset == 0;
        this.bundleKnown = startsAtZero;
        this.listener = listener;
    }

    // -----------------------------------------------------------------------
    /**
     * Loads a snapshot as the starting point. It must be called before the records are folded.
     *
     * @param snapshot the snapshot; ignored unless it covers all records before the first one to
     *     fold
     */
    public void load(SnapshotRecord snapshot) {
        if (snapshot.asOf() < nextOffset - 1) {
            return;
        }
        if (snapshot.signedBundle() != null && snapshot.asOf() > bundleSnapshotOffset) {
            bundles.adopt(snapshot.signedBundle());
            bundleKnown = true;
            bundleSnapshotOffset = snapshot.asOf();
        }
        if (snapshot.asOf() > cellSnapshotOffsets.getOrDefault(snapshot.cell(), -1L)) {
            stateOf(snapshot.cell()).load(snapshot);
            knownCells.add(snapshot.cell());
            cellSnapshotOffsets.put(snapshot.cell(), snapshot.asOf());
        }
    }

    /**
     * Folds the next record.
     *
     * @param entry the record and its offset, which must be the next one
     * @throws IllegalArgumentException if the offset is not the next one
     */
    public void apply(LogEntry entry) {
        if (entry.offset() != nextOffset) {
            throw new IllegalArgumentException(
                    "log record out of order: offset "
                            + entry.offset()
                            + ", expected "
                            + nextOffset);
        }
        nextOffset++;
        RecordCodec.decode(entry.record()).ifPresent(record -> apply(entry.offset(), record));
    }

    private void apply(long offset, LogRecord record) {
        if (record instanceof BundleRecord published) {
            if (offset > bundleSnapshotOffset && bundleKnown) {
                publish(published);
            }
        } else if (record instanceof ClaimRecord claim) {
            if (offset > cellSnapshotOffsets.getOrDefault(claim.cell(), -1L)) {
                claim(claim);
            }
        } else if (record instanceof BundleTaskRecord tasks) {
            if (offset > cellSnapshotOffsets.getOrDefault(tasks.cell(), -1L)
                    && isCellKnown(tasks.cell())) {
                stateOf(tasks.cell()).apply(tasks);
                prune(stateOf(tasks.cell()));
            }
        }
    }

    private void publish(BundleRecord published) {
        try {
            bundles.apply(published.signedBundle());
            cells.values().forEach(this::prune);
            listener.publicationDecided(published.id(), null);
        } catch (StandlinkException refused) {
            listener.publicationDecided(published.id(), refused);
        }
    }

    private void claim(ClaimRecord claim) {
        boolean firstClaim = claim.epoch().equals(Epoch.NONE.next());
        if (firstClaim && !isCellKnown(claim.cell())) {
            knownCells.add(claim.cell());
        }
        if (isCellKnown(claim.cell())) {
            stateOf(claim.cell()).apply(claim);
        }
    }

    private void prune(CellState state) {
        Bundle bundle = bundles.getBundle();
        if (bundle == null) {
            return;
        }
        Set<JobId> presentJobs = new HashSet<>();
        bundle.jobs().stream().map(JobSpecification::id).forEach(presentJobs::add);
        state.prune(presentJobs::contains);
    }

    private CellState stateOf(CellId cell) {
        return cells.computeIfAbsent(cell, CellState::new);
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the state of a cell is known.
     *
     * @param cell the cell
     * @return false if relevant records may have been dropped before they were read
     */
    public boolean isCellKnown(CellId cell) {
        return startsAtZero || knownCells.contains(cell);
    }

    /**
     * Checks whether the bundle in force is known.
     *
     * @return false if relevant records may have been dropped before they were read
     */
    public boolean isBundleKnown() {
        return bundleKnown;
    }

    /**
     * Gets the state of a cell.
     *
     * @param cell the cell
     * @return the state; that of a new cell if the log has never named it
     */
    public CellState getCellState(CellId cell) {
        return stateOf(cell);
    }

    /**
     * Gets the bundles.
     *
     * @return the fold of the bundles
     */
    public BundleFold getBundles() {
        return bundles;
    }

    /**
     * Gets the offset of the next record to fold.
     *
     * @return the offset
     */
    public long getNextOffset() {
        return nextOffset;
    }
}
