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
package org.standlink.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.LogBatch;
import org.standlink.port.LogEntry;
import org.standlink.port.LogPort;

/**
 * A log in memory, with the platform's limits and faults.
 *
 * <p>{@code MemoryLog} is thread-safe.
 */
public final class MemoryLog implements LogPort {

    /** The span over which appends are counted, in milliseconds. */
    private static final long RATE_MILLIS = 1000;

    /** The clock. */
    private final MonotonicClock clock;

    /** The most appends a second. */
    private final int mostPerSecond;

    /** How long records are kept, in milliseconds. */
    private final long retentionMillis;

    /** The records kept. */
    private final Deque<LogEntry> entries = new ArrayDeque<>();

    /** When each record kept was appended, in milliseconds. */
    private final Deque<Long> times = new ArrayDeque<>();

    /** When the appends of the last second were made, in milliseconds. */
    private final Deque<Long> recent = new ArrayDeque<>();

    /** Appends that will land only when asked to. */
    private final List<byte[]> late = new ArrayList<>();

    /** The offset of the next record. */
    private long end;

    /** Whether nothing is taken. */
    private boolean down;

    /** How many next appends take effect but lose their answer. */
    private int loseAnswers;

    /** How many next appends lose their answer and land late. */
    private int delayAppends;

    /**
     * Constructor.
     *
     * @param clock the clock
     * @param mostPerSecond the most appends a second
     * @param retentionMillis how long records are kept, in milliseconds
     */
    public MemoryLog(MonotonicClock clock, int mostPerSecond, long retentionMillis) {
        this.clock = clock;
        this.mostPerSecond = mostPerSecond;
        this.retentionMillis = retentionMillis;
    }

    // -----------------------------------------------------------------------
    @Override
    public synchronized long append(byte[] record) {
        long now = clock.nowMillis();
        while (!recent.isEmpty() && now - recent.peekFirst() >= RATE_MILLIS) {
            recent.removeFirst();
        }
        if (down || recent.size() >= mostPerSecond) {
            throw unavailable();
        }
        recent.addLast(now);
        if (delayAppends > 0) {
            delayAppends--;
            late.add(record.clone());
            throw unknown();
        }
        long offset = land(record);
        if (loseAnswers > 0) {
            loseAnswers--;
            throw unknown();
        }
        return offset;
    }

    @Override
    public synchronized LogBatch read(long from, int most) {
        if (down) {
            throw unavailable();
        }
        dropOld();
        List<LogEntry> found = new ArrayList<>();
        for (LogEntry entry : entries) {
            if (entry.offset() >= from && found.size() < most) {
                found.add(entry);
            }
        }
        return new LogBatch(end - entries.size(), end, found);
    }

    // -----------------------------------------------------------------------
    /**
     * Begins or ends an outage.
     *
     * @param isDown whether nothing is taken from now on
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Lets the next appends take effect and lose their answers.
     *
     * @param count how many
     */
    public synchronized void loseAnswers(int count) {
        loseAnswers = count;
    }

    /**
     * Lets the next appends lose their answers and land only at {@link #executeDelayedAppends}.
     *
     * @param count how many
     */
    public synchronized void delayAppends(int count) {
        delayAppends = count;
    }

    /** Lands the delayed appends, in order. */
    public synchronized void executeDelayedAppends() {
        late.forEach(this::land);
        late.clear();
    }

    /**
     * Drops old records at once.
     *
     * @param firstRetained the offset of the first record to keep
     */
    public synchronized void dropBefore(long firstRetained) {
        while (!entries.isEmpty() && entries.peekFirst().offset() < firstRetained) {
            entries.removeFirst();
            times.removeFirst();
        }
    }

    /**
     * Gets the offset that the next record will get.
     *
     * @return the offset
     */
    public synchronized long getEnd() {
        return end;
    }

    // -----------------------------------------------------------------------
    private long land(byte[] record) {
        entries.addLast(new LogEntry(end, record.clone()));
        times.addLast(clock.nowMillis());
        return end++;
    }

    private void dropOld() {
        long oldest = clock.nowMillis() - retentionMillis;
        while (!times.isEmpty() && times.peekFirst() < oldest) {
            times.removeFirst();
            entries.removeFirst();
        }
    }

    private static StandlinkException unavailable() {
        return new StandlinkException(
                ErrorCode.PLATFORM_UNAVAILABLE, "the log takes nothing now", "try again later");
    }

    private static StandlinkException unknown() {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN, "the answer was lost", "read the log back");
    }
}
