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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Attempt;
import org.standlink.ErrorCode;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.AttemptStatus;
import org.standlink.port.TaskStart;
import org.standlink.port.WorkerLease;
import org.standlink.port.WorkerPort;

/**
 * A worker in memory: tasks make progress with the clock and stop when the lease lapses.
 *
 * <p>A checkpoint is the progress in milliseconds, as text. {@code MemoryWorker} is thread-safe.
 */
public final class MemoryWorker implements WorkerPort {

    /** What a throttle of nothing is, in percent. */
    private static final int FULL = 100;

    /** Milliseconds in a second. */
    private static final double SECOND_MILLIS = 1000;

    /** The clock. */
    private final MonotonicClock clock;

    /** What the worker has. */
    private final Resources capacity;

    /** The length of a lease, in milliseconds. */
    private final long leaseMillis;

    /** How long tasks really run, as a multiple of what is declared. */
    private final double runFactor;

    /** What tasks really use, as a share of what they are granted. */
    private final double usageFactor;

    /** What the worker knows of a task. */
    private static final class Entry {

        /** What was started. */
        private final TaskStart start;

        /** Where it stands. */
        private AttemptStatus.State state = AttemptStatus.State.RUNNING;

        /** Progress, in milliseconds. */
        private double progress;

        /** When progress was last counted, in milliseconds. */
        private long countedMillis;

        /** The share of its processors it may use, in percent. */
        private int throttle = FULL;

        private Entry(TaskStart start, long nowMillis) {
            this.start = start;
            this.countedMillis = nowMillis;
            this.progress = start.checkpoint() == null ? 0 : Double.parseDouble(start.checkpoint());
        }
    }

    /** Names an attempt. */
    private record Key(TaskId task, Attempt attempt) {}

    /** The attempts. */
    private final Map<Key, Entry> attempts = new HashMap<>();

    /** The lease in force, null if there is none. */
    private String token;

    /** The holder of the lease. */
    private String holder;

    /** When the lease lapses, in milliseconds. */
    private long untilMillis;

    /** The number of the last lease. */
    private long lastLease;

    /** Whether everything that is started fails. */
    private boolean failing;

    /** Whether nothing is taken. */
    private boolean down;

    /**
     * Constructor.
     *
     * @param clock the clock
     * @param capacity what the worker has
     * @param leaseMillis the length of a lease, in milliseconds
     * @param runFactor how long tasks really run, as a multiple of what is declared
     * @param usageFactor what tasks really use, as a share of what they are granted
     */
    public MemoryWorker(
            MonotonicClock clock,
            Resources capacity,
            long leaseMillis,
            double runFactor,
            double usageFactor) {
        this.clock = clock;
        this.capacity = capacity;
        this.leaseMillis = leaseMillis;
        this.runFactor = runFactor;
        this.usageFactor = usageFactor;
    }

    // -----------------------------------------------------------------------
    @Override
    public synchronized WorkerLease acquire(String newHolder) {
        advance();
        if (token != null && !newHolder.equals(holder)) {
            throw lapsed("another holder's lease is live");
        }
        lastLease++;
        token = newHolder + "/" + System.identityHashCode(this) + "/" + lastLease;
        holder = newHolder;
        untilMillis = clock.nowMillis() + leaseMillis;
        return new WorkerLease(token, leaseMillis);
    }

    @Override
    public synchronized WorkerLease renew(WorkerLease lease) {
        check(lease);
        untilMillis = clock.nowMillis() + leaseMillis;
        return new WorkerLease(token, leaseMillis);
    }

    @Override
    public synchronized void start(WorkerLease lease, TaskStart start) {
        check(lease);
        Key key = new Key(start.task(), start.attempt());
        if (attempts.containsKey(key)) {
            return;
        }
        if (!granted().plus(start.resources()).fitsIn(capacity)) {
            throw new StandlinkException(
                    ErrorCode.NO_CAPACITY, "no room for " + start.task(), "stop something first");
        }
        Entry entry = new Entry(start, clock.nowMillis());
        if (failing) {
            entry.state = AttemptStatus.State.FAILED;
        }
        attempts.put(key, entry);
    }

    @Override
    public synchronized AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt) {
        check(lease);
        Entry entry = attempts.get(new Key(task, attempt));
        if (entry == null) {
            TaskStart never = new TaskStart(task, attempt, Resources.NONE, 0, null);
            entry = new Entry(never, clock.nowMillis());
            attempts.put(new Key(task, attempt), entry);
        }
        if (entry.state == AttemptStatus.State.RUNNING) {
            entry.state = AttemptStatus.State.STOPPED;
        }
        return usage(entry);
    }

    @Override
    public synchronized void throttle(WorkerLease lease, TaskId task, int percent) {
        check(lease);
        for (Entry entry : attempts.values()) {
            if (entry.start.task().equals(task)) {
                entry.throttle = percent;
            }
        }
    }

    @Override
    public synchronized List<AttemptStatus> list() {
        advance();
        List<AttemptStatus> result = new ArrayList<>();
        attempts.values().forEach(entry -> result.add(usage(entry)));
        return result;
    }

    // -----------------------------------------------------------------------
    /**
     * Lets everything that is started from now on fail, or no more.
     *
     * @param isFailing whether it fails
     */
    public synchronized void setFailing(boolean isFailing) {
        failing = isFailing;
    }

    /**
     * Begins or ends a time in which nothing is taken.
     *
     * @param isDown whether nothing is taken
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Forgets everything, as after a restart of the VM. */
    public synchronized void restart() {
        attempts.clear();
        token = null;
        holder = null;
    }

    /**
     * Gets what runs.
     *
     * @return the starts of the running attempts
     */
    public synchronized List<TaskStart> getRunningAttempts() {
        advance();
        return attempts.values().stream()
                .filter(entry -> entry.state == AttemptStatus.State.RUNNING)
                .map(entry -> entry.start)
                .toList();
    }

    // -----------------------------------------------------------------------
    private void check(WorkerLease lease) {
        advance();
        if (token == null || !token.equals(lease.token())) {
            throw lapsed("the lease '" + lease.token() + "' is not in force");
        }
    }

    private void advance() {
        if (down) {
            throw new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the worker is down", "try again later");
        }
        long now = clock.nowMillis();
        boolean lapses = token != null && now >= untilMillis;
        long end = lapses ? untilMillis : now;
        attempts.values().forEach(entry -> advance(entry, end));
        if (lapses) {
            token = null;
            attempts.values().stream()
                    .filter(entry -> entry.state == AttemptStatus.State.RUNNING)
                    .forEach(entry -> entry.state = AttemptStatus.State.STOPPED);
        }
    }

    private void advance(Entry entry, long end) {
        if (entry.state != AttemptStatus.State.RUNNING || end <= entry.countedMillis) {
            return;
        }
        entry.progress += (end - entry.countedMillis) * entry.throttle / (double) FULL;
        entry.countedMillis = end;
        if (entry.progress >= entry.start.runSeconds() * runFactor * SECOND_MILLIS) {
            entry.state = AttemptStatus.State.FINISHED;
        }
    }

    private Resources granted() {
        Resources sum = Resources.NONE;
        for (Entry entry : attempts.values()) {
            if (entry.state == AttemptStatus.State.RUNNING) {
                sum = sum.plus(entry.start.resources());
            }
        }
        return sum;
    }

    private AttemptStatus usage(Entry entry) {
        Resources reserved = entry.start.resources();
        Resources used =
                new Resources(
                        Math.round(reserved.milliCores() * usageFactor),
                        Math.round(reserved.memoryMegabytes() * usageFactor),
                        reserved.accelerators());
        boolean running = entry.state == AttemptStatus.State.RUNNING;
        return new AttemptStatus(
                entry.start.task(),
                entry.start.attempt(),
                entry.state,
                Long.toString((long) entry.progress),
                reserved,
                running ? used : null);
    }

    private static StandlinkException lapsed(String problem) {
        return new StandlinkException(
                ErrorCode.LEASE_LAPSED, problem, "take the lease anew and look what runs");
    }
}
