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

import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.standlink.port.LogBatch;
import org.standlink.port.LogEntry;
import org.standlink.port.LogPort;

/**
 * Reads the log and maintains the fold of its records, even if the log has dropped records that
 * were not read.
 *
 * <p>If the next record has been dropped, the follower rebuilds the fold from the first retained
 * record and the newest snapshots in the log.
 *
 * <p>{@code LogFollower} is thread-safe.
 */
public final class LogFollower {

    /** The maximum number of records per read. */
    private static final int BATCH_SIZE = 500;

    private final LogPort log;

    private final LogFold.PublicationListener listener;

    /** Held while the log is read; the fold itself is guarded by this object. */
    private final ReentrantLock pollLock = new ReentrantLock();

    /** The fold; replaced when it is rebuilt. */
    private LogFold fold;

    /**
     * Whether the current fold started after offset 0, so that parts of the state may be unknown.
     */
    private boolean incomplete;

    /**
     * Creates a follower that starts at offset 0.
     *
     * @param log the log
     * @param listener receives the decisions on published bundles
     */
    public LogFollower(LogPort log, LogFold.PublicationListener listener) {
        this.log = log;
        this.listener = listener;
        this.fold = new LogFold(0, listener);
    }

    /**
     * Reads to the end of the log.
     *
     * @return the number of records folded
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE; the records read
     *     before remain folded
     */
    public int poll() {
        pollLock.lock();
        try {
            return readToEnd();
        } finally {
            pollLock.unlock();
        }
    }

    /**
     * Reads from the fold while no record is being applied.
     *
     * @param <T> the type of the result
     * @param reader reads the required state
     * @return the result
     */
    public synchronized <T> T read(Function<LogFold, T> reader) {
        return reader.apply(fold);
    }

    // -----------------------------------------------------------------------
    private int readToEnd() {
        int folded = 0;
        while (true) {
            // The log may be slow, so it is read without holding the lock of the fold.
            LogBatch batch = log.read(getNextOffset(), BATCH_SIZE);
            if (batch.firstRetained() > getNextOffset()) {
                rebuild(batch.firstRetained());
                continue;
            }
            folded += applyAll(batch);
            if (getNextOffset() >= batch.end()) {
                return folded;
            }
        }
    }

    private synchronized long getNextOffset() {
        return fold.getNextOffset();
    }

    private void rebuild(long firstRetained) {
        LogFold rebuilt = buildFold(firstRetained);
        synchronized (this) {
            fold = rebuilt;
            incomplete = true;
        }
    }

    /**
     * Builds a fold from a later start, up to at least the position of the fold in use. What is
     * read must never go back to the state of the snapshots: a leader would assign attempts again
     * that it had released.
     */
    private LogFold buildFold(long firstRetained) {
        LogFold rebuilt = new LogFold(firstRetained, listener);
        long from = firstRetained;
        long end = firstRetained + 1;
        while (from < end) {
            LogBatch batch = log.read(from, BATCH_SIZE);
            if (batch.firstRetained() > from) {
                return buildFold(batch.firstRetained());
            }
            batch.entries().forEach(entry -> snapshotOf(entry).ifPresent(rebuilt::load));
            from += batch.entries().size();
            end = batch.end();
        }
        while (rebuilt.getNextOffset() < end) {
            LogBatch batch = log.read(rebuilt.getNextOffset(), BATCH_SIZE);
            if (batch.firstRetained() > rebuilt.getNextOffset()) {
                return buildFold(batch.firstRetained());
            }
            // Records appended since are folded later, as one may be a snapshot with missing state.
            applyBefore(end, batch, rebuilt);
        }
        return rebuilt;
    }

    private static void applyBefore(long end, LogBatch batch, LogFold rebuilt) {
        batch.entries().stream().filter(entry -> entry.offset() < end).forEach(rebuilt::apply);
    }

    private int applyAll(LogBatch batch) {
        int folded = 0;
        for (LogEntry entry : batch.entries()) {
            if (apply(entry, batch.firstRetained())) {
                rebuild(batch.firstRetained());
                return folded;
            }
            folded++;
        }
        return folded;
    }

    private synchronized boolean apply(LogEntry entry, long firstRetained) {
        boolean requiresRebuild = suppliesMissingState(entry, firstRetained);
        fold.apply(entry);
        return requiresRebuild;
    }

    private boolean suppliesMissingState(LogEntry entry, long firstRetained) {
        if (!incomplete) {
            return false;
        }
        return snapshotOf(entry)
                .filter(snapshot -> snapshot.asOf() >= firstRetained - 1)
                .filter(this::containsMissingState)
                .isPresent();
    }

    private boolean containsMissingState(SnapshotRecord snapshot) {
        boolean containsMissingBundle = snapshot.signedBundle() != null && !fold.isBundleKnown();
        return containsMissingBundle || !fold.isCellKnown(snapshot.cell());
    }

    private static Optional<SnapshotRecord> snapshotOf(LogEntry entry) {
        return RecordCodec.decode(entry.record())
                .filter(SnapshotRecord.class::isInstance)
                .map(SnapshotRecord.class::cast);
    }
}
