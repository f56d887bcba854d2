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
 * Reads the log and keeps the fold of it, also across what the log has dropped.
 *
 * <p>When the next record was dropped, the follower starts anew at the first retained one, with the
 * newest snapshots found in the log.
 *
 * <p>{@code LogFollower} is thread-safe.
 */
public final class LogFollower {

    /** How many records to read at a time. */
    private static final int BATCH = 500;

    /** The log. */
    private final LogPort log;

    /** Told what became of each published bundle. */
    private final LogFold.PublicationListener listener;

    /** Held while the log is read; the fold itself is guarded by this object. */
    private final ReentrantLock polling = new ReentrantLock();

    /** The fold; replaced when the follower starts anew. */
    private LogFold fold;

    /** Whether the present fold began after offset 0, so that parts of it may be unknown. */
    private boolean gap;

    /**
     * Constructor.
     *
     * @param log the log
     * @param listener told what became of each published bundle
     */
    public LogFollower(LogPort log, LogFold.PublicationListener listener) {
        this.log = log;
        this.listener = listener;
        this.fold = new LogFold(0, listener);
    }

    /**
     * Reads to the end of the log.
     *
     * @return how many records were folded
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE; what was read stays
     */
    public int poll() {
        polling.lock();
        try {
            return readToEnd();
        } finally {
            polling.unlock();
        }
    }

    /**
     * Reads from the fold while it stands still.
     *
     * @param <T> the type of the result
     * @param reader reads what is wanted
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
            LogBatch batch = log.read(getNext(), BATCH);
            if (batch.firstRetained() > getNext()) {
                startAnew(batch.firstRetained());
                continue;
            }
            folded += foldAll(batch);
            if (getNext() >= batch.end()) {
                return folded;
            }
        }
    }

    private synchronized long getNext() {
        return fold.getNextOffset();
    }

    private void startAnew(long firstRetained) {
        LogFold fresh = foldAnew(firstRetained);
        synchronized (this) {
            fold = fresh;
            gap = true;
        }
    }

    /**
     * Folds the log from a later start, to where the fold in use has come at the least. What is
     * read must never go back to the state of the snapshots: a leader would hand out anew what it
     * gave up.
     */
    private LogFold foldAnew(long firstRetained) {
        LogFold fresh = new LogFold(firstRetained, listener);
        long from = firstRetained;
        long end = firstRetained + 1;
        while (from < end) {
            LogBatch batch = log.read(from, BATCH);
            if (batch.firstRetained() > from) {
                return foldAnew(batch.firstRetained());
            }
            batch.entries().forEach(entry -> snapshotOf(entry).ifPresent(fresh::load));
            from += batch.entries().size();
            end = batch.end();
        }
        while (fresh.getNextOffset() < end) {
            LogBatch batch = log.read(fresh.getNextOffset(), BATCH);
            if (batch.firstRetained() > fresh.getNextOffset()) {
                return foldAnew(batch.firstRetained());
            }
            // What came since is folded later, as it may be a snapshot that fills a gap.
            applyBefore(end, batch, fresh);
        }
        return fresh;
    }

    private static void applyBefore(long end, LogBatch batch, LogFold fresh) {
        batch.entries().stream().filter(entry -> entry.offset() < end).forEach(fresh::apply);
    }

    private int foldAll(LogBatch batch) {
        int folded = 0;
        for (LogEntry entry : batch.entries()) {
            if (fold(entry, batch.firstRetained())) {
                startAnew(batch.firstRetained());
                return folded;
            }
            folded++;
        }
        return folded;
    }

    private synchronized boolean fold(LogEntry entry, long firstRetained) {
        boolean fills = fillsGap(entry, firstRetained);
        fold.apply(entry);
        return fills;
    }

    private boolean fillsGap(LogEntry entry, long firstRetained) {
        if (!gap) {
            return false;
        }
        return snapshotOf(entry)
                .filter(snapshot -> snapshot.asOf() >= firstRetained - 1)
                .filter(this::isNews)
                .isPresent();
    }

    private boolean isNews(SnapshotRecord snapshot) {
        boolean bundle = snapshot.signedBundle() != null && !fold.isBundleKnown();
        return bundle || !fold.isCellKnown(snapshot.cell());
    }

    private static Optional<SnapshotRecord> snapshotOf(LogEntry entry) {
        return RecordCodec.decode(entry.record())
                .filter(SnapshotRecord.class::isInstance)
                .map(SnapshotRecord.class::cast);
    }
}
