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
 * Folds the log, in order, into the bundle in force and the state of each cell.
 *
 * <p>A reader that starts at offset 0 knows everything. One that starts later knows a part only
 * after a snapshot of it, or after the record that began it.
 *
 * <p>{@code LogFold} is mutable and not thread-safe; its owner guards it.
 */
public final class LogFold {

    /** Told what became of each published bundle. */
    @FunctionalInterface
    public interface PublicationListener {

        /**
         * Says what became of a bundle.
         *
         * @param recordId the id of the record
         * @param refusal why it was refused, null if accepted
         */
        void publicationDecided(String recordId, StandlinkException refusal);
    }

    /** The bundles. */
    private final BundleFold bundles = new BundleFold();

    /** The cells. */
    private final Map<CellId, CellState> cells = new HashMap<>();

    /** The offset through which each cell is covered by a snapshot. */
    private final Map<CellId, Long> coveredCells = new HashMap<>();

    /** The cells whose state is known. */
    private final Set<CellId> knownCells = new HashSet<>();

    /** Told what became of each published bundle. */
    private final PublicationListener listener;

    /** Whether the fold began at offset 0, so that what it has not seen does not exist. */
    private final boolean complete;

    /** Whether the bundle in force is known. */
    private boolean bundleKnown;

    /** The offset through which the bundle is covered by a snapshot. */
    private long coveredBundle = -1;

    /** The offset of the next record to fold. */
    private long next;

    /**
     * Constructor.
     *
     * @param first the offset of the first record that will be folded
     * @param listener told what became of each published bundle
     */
    public LogFold(long first, PublicationListener listener) {
        this.next = first;
        this.complete = first == 0;
        this.bundleKnown = complete;
        this.listener = listener;
    }

    // -----------------------------------------------------------------------
    /**
     * Takes a snapshot as a starting point; to be called before the records are folded.
     *
     * @param snapshot a snapshot whose offset is not before the first record to fold, less one
     */
    public void load(SnapshotRecord snapshot) {
        if (snapshot.asOf() < next - 1) {
            return;
        }
        if (snapshot.signedBundle() != null && snapshot.asOf() > coveredBundle) {
            bundles.adopt(snapshot.signedBundle());
            bundleKnown = true;
            coveredBundle = snapshot.asOf();
        }
        if (snapshot.asOf() > coveredCells.getOrDefault(snapshot.cell(), -1L)) {
            stateOf(snapshot.cell()).load(snapshot);
            knownCells.add(snapshot.cell());
            coveredCells.put(snapshot.cell(), snapshot.asOf());
        }
    }

    /**
     * Folds the next record.
     *
     * @param entry the record with its offset, which must be the next one
     */
    public void apply(LogEntry entry) {
        if (entry.offset() != next) {
            throw new IllegalArgumentException("offset " + entry.offset() + ", not " + next);
        }
        next++;
        RecordCodec.decode(entry.record()).ifPresent(record -> apply(entry.offset(), record));
    }

    private void apply(long offset, LogRecord record) {
        if (record instanceof BundleRecord published) {
            if (offset > coveredBundle && bundleKnown) {
                publish(published);
            }
        } else if (record instanceof ClaimRecord claim) {
            if (offset > coveredCells.getOrDefault(claim.cell(), -1L)) {
                claim(claim);
            }
        } else if (record instanceof BundleTaskRecord tasks) {
            if (offset > coveredCells.getOrDefault(tasks.cell(), -1L)
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
        boolean first = claim.epoch().equals(Epoch.NONE.next());
        if (first && !isCellKnown(claim.cell())) {
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
        Set<JobId> present = new HashSet<>();
        bundle.jobs().stream().map(JobSpecification::id).forEach(present::add);
        state.prune(present::contains);
    }

    private CellState stateOf(CellId cell) {
        return cells.computeIfAbsent(cell, CellState::new);
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether the state of a cell is known.
     *
     * @param cell the cell
     * @return false if records that count may have been dropped before they were read
     */
    public boolean isCellKnown(CellId cell) {
        return complete || knownCells.contains(cell);
    }

    /**
     * Checks whether the bundle in force is known.
     *
     * @return false if records that count may have been dropped before they were read
     */
    public boolean isBundleKnown() {
        return bundleKnown;
    }

    /**
     * Gets the state of a cell.
     *
     * @param cell the cell
     * @return the state, that of a new cell if the log never named it
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
        return next;
    }
}
