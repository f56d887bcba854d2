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
 * A log in memory that simulates the limits and faults of the platform's log.
 *
 * <p>{@code MemoryLog} is thread-safe.
 */
public final class MemoryLog implements LogPort {

    /** The window over which appends are counted, in milliseconds. */
    private static final long RATE_WINDOW_MILLIS = 1000;

    private final MonotonicClock clock;

    private final int maxAppendsPerSecond;

    /** How long records are retained, in milliseconds. */
    private final long retentionMillis;

    /** The retained records. */
    private final Deque<LogEntry> entries = new ArrayDeque<>();

    /** When each retained record was appended, in milliseconds. */
    private final Deque<Long> appendTimes = new ArrayDeque<>();

    /** When the appends of the last second were made, in milliseconds. */
    private final Deque<Long> recentAppends = new ArrayDeque<>();

    /** The appends that are executed only on request. */
    private final List<byte[]> delayedAppends = new ArrayList<>();

    /** The offset of the next record. */
    private long end;

    /** Whether the log rejects all calls. */
    private boolean down;

    /** The number of upcoming appends that take effect but lose their answer. */
    private int answersToLose;

    /** The number of upcoming appends that lose their answer and are executed later. */
    private int appendsToDelay;

    /**
     * Creates an empty log.
     *
     * @param clock the clock
     * @param maxAppendsPerSecond the maximum number of appends per second
     * @param retentionMillis how long records are retained, in milliseconds
     */
    public MemoryLog(MonotonicClock clock, int maxAppendsPerSecond, long retentionMillis) {
        this.clock = clock;
        this.maxAppendsPerSecond = maxAppendsPerSecond;
        this.retentionMillis = retentionMillis;
    }

    // -----------------------------------------------------------------------
    @Override
    public synchronized long append(byte[] record) {
        long now = clock.nowMillis();
        while (!recentAppends.isEmpty() && now - recentAppends.peekFirst() >= RATE_WINDOW_MILLIS) {
            recentAppends.removeFirst();
        }
        if (down || recentAppends.size() >= maxAppendsPerSecond) {
            throw unavailable();
        }
        recentAppends.addLast(now);
        if (appendsToDelay > 0) {
            appendsToDelay--;
            delayedAppends.add(record.clone());
            throw outcomeUnknown();
        }
        long offset = store(record);
        if (answersToLose > 0) {
            answersToLose--;
            throw outcomeUnknown();
        }
        return offset;
    }

    @Override
    public synchronized LogBatch read(long from, int maxEntries) {
        if (down) {
            throw unavailable();
        }
        dropExpired();
        List<LogEntry> found = new ArrayList<>();
        for (LogEntry entry : entries) {
            if (entry.offset() >= from && found.size() < maxEntries) {
                found.add(entry);
            }
        }
        return new LogBatch(end - entries.size(), end, found);
    }

    // -----------------------------------------------------------------------
    /**
     * Starts or ends an outage.
     *
     * @param isDown whether the log rejects all calls from now on
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Lets the next appends take effect and lose their answers.
     *
     * @param count the number of appends
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Lets the next appends lose their answers; they are executed by {@link
     * #executeDelayedAppends}.
     *
     * @param count the number of appends
     */
    public synchronized void delayAppends(int count) {
        appendsToDelay = count;
    }

    /** Executes the delayed appends, in order. */
    public synchronized void executeDelayedAppends() {
        delayedAppends.forEach(this::store);
        delayedAppends.clear();
    }

    /**
     * Drops records regardless of their age.
     *
     * @param firstRetained the offset of the first record to retain
     */
    public synchronized void dropBefore(long firstRetained) {
        while (!entries.isEmpty() && entries.peekFirst().offset() < firstRetained) {
            entries.removeFirst();
            appendTimes.removeFirst();
        }
    }

    /**
     * Gets the offset of the next record.
     *
     * @return the offset
     */
    public synchronized long getEnd() {
        return end;
    }

    // -----------------------------------------------------------------------
    private long store(byte[] record) {
        entries.addLast(new LogEntry(end, record.clone()));
        appendTimes.addLast(clock.nowMillis());
        return end++;
    }

    private void dropExpired() {
        long oldest = clock.nowMillis() - retentionMillis;
        while (!appendTimes.isEmpty() && appendTimes.peekFirst() < oldest) {
            appendTimes.removeFirst();
            entries.removeFirst();
        }
    }

    private static StandlinkException unavailable() {
        return new StandlinkException(
                ErrorCode.PLATFORM_UNAVAILABLE, "the log is unavailable", "try again later");
    }

    private static StandlinkException outcomeUnknown() {
        return new StandlinkException(
                ErrorCode.PLATFORM_OUTCOME_UNKNOWN,
                "the answer to the append was lost",
                "read the log back");
    }
}
