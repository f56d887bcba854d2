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
 * A worker in memory: tasks progress with the clock and stop when the lease expires.
 *
 * <p>A checkpoint is the progress in milliseconds, as text.
 *
 * <p>{@code MemoryWorker} is thread-safe.
 */
public final class MemoryWorker implements WorkerPort {

    /** The share of its processors that a task may use if it is not throttled, in percent. */
    private static final int UNTHROTTLED_PERCENT = 100;

    private static final double MILLIS_PER_SECOND = 1000;

    private final MonotonicClock clock;

    private final Resources capacity;

    /** The duration of a lease, in milliseconds. */
    private final long leaseMillis;

    /** The actual run time of tasks as a multiple of the declared one. */
    private final double runFactor;

    /** The actual usage of tasks as a fraction of what they are granted. */
    private final double usageFactor;

    /** The state of an attempt. */
    private static final class AttemptState {

        private final TaskStart start;

        private AttemptStatus.State state = AttemptStatus.State.RUNNING;

        private double progressMillis;

        /** When the progress was last updated, in milliseconds. */
        private long updatedAtMillis;

        /** The share of its processors that the task may use, in percent. */
        private int throttlePercent = UNTHROTTLED_PERCENT;

        private AttemptState(TaskStart start, long nowMillis) {
            this.start = start;
            this.updatedAtMillis = nowMillis;
            this.progressMillis =
                    start.checkpoint() == null ? 0 : Double.parseDouble(start.checkpoint());
        }
    }

    /** Identifies an attempt. */
    private record AttemptKey(TaskId task, Attempt attempt) {}

    private final Map<AttemptKey, AttemptState> attempts = new HashMap<>();

    /** The token of the current lease; null if there is none. */
    private String token;

    /** The holder of the last lease; null if there has been none. */
    private String holder;

    /** When the lease expires, in milliseconds. */
    private long leaseExpiryMillis;

    private long lastLeaseNumber;

    /** Whether attempts fail as soon as they are started. */
    private boolean failing;

    /** Whether the worker rejects all calls. */
    private boolean down;

    /**
     * Creates a worker without a lease or attempts.
     *
     * @param clock the clock
     * @param capacity the resources of the worker
     * @param leaseMillis the duration of a lease, in milliseconds
     * @param runFactor the actual run time of tasks as a multiple of the declared one
     * @param usageFactor the actual usage of tasks as a fraction of what they are granted
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
            throw leaseNotHeld("the lease of another holder has not expired");
        }
        lastLeaseNumber++;
        token = newHolder + "/" + System.identityHashCode(this) + "/" + lastLeaseNumber;
        holder = newHolder;
        leaseExpiryMillis = clock.nowMillis() + leaseMillis;
        return new WorkerLease(token, leaseMillis);
    }

    @Override
    public synchronized WorkerLease renew(WorkerLease lease) {
        checkLease(lease);
        leaseExpiryMillis = clock.nowMillis() + leaseMillis;
        return new WorkerLease(token, leaseMillis);
    }

    @Override
    public synchronized void start(WorkerLease lease, TaskStart start) {
        checkLease(lease);
        AttemptKey key = new AttemptKey(start.task(), start.attempt());
        if (attempts.containsKey(key)) {
            return;
        }
        if (!sumGranted().plus(start.resources()).fitsIn(capacity)) {
            throw new StandlinkException(
                    ErrorCode.NO_CAPACITY,
                    "insufficient capacity for " + start.task(),
                    "stop an attempt first");
        }
        AttemptState attemptState = new AttemptState(start, clock.nowMillis());
        if (failing) {
            attemptState.state = AttemptStatus.State.FAILED;
        }
        attempts.put(key, attemptState);
    }

    @Override
    public synchronized AttemptStatus stop(WorkerLease lease, TaskId task, Attempt attempt) {
        checkLease(lease);
        AttemptState attemptState = attempts.get(new AttemptKey(task, attempt));
        if (attemptState == null) {
            // Recorded as stopped, so that a delayed start of the attempt has no effect.
            TaskStart neverStarted = new TaskStart(task, attempt, Resources.NONE, 0, null);
            attemptState = new AttemptState(neverStarted, clock.nowMillis());
            attempts.put(new AttemptKey(task, attempt), attemptState);
        }
        if (attemptState.state == AttemptStatus.State.RUNNING) {
            attemptState.state = AttemptStatus.State.STOPPED;
        }
        return toStatus(attemptState);
    }

    @Override
    public synchronized void throttle(WorkerLease lease, TaskId task, int percent) {
        checkLease(lease);
        for (AttemptState attemptState : attempts.values()) {
            if (attemptState.start.task().equals(task)) {
                attemptState.throttlePercent = percent;
            }
        }
    }

    @Override
    public synchronized List<AttemptStatus> list() {
        advance();
        List<AttemptStatus> result = new ArrayList<>();
        attempts.values().forEach(attemptState -> result.add(toStatus(attemptState)));
        return result;
    }

    // -----------------------------------------------------------------------
    /**
     * Sets whether attempts that are started from now on fail.
     *
     * @param isFailing whether they fail
     */
    public synchronized void setFailing(boolean isFailing) {
        failing = isFailing;
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether the worker rejects all calls from now on
     */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Discards the lease and all attempts, as a restart of the VM does. */
    public synchronized void restart() {
        attempts.clear();
        token = null;
        holder = null;
    }

    /**
     * Gets the running attempts.
     *
     * @return the arguments that they were started with
     */
    public synchronized List<TaskStart> getRunningAttempts() {
        advance();
        return attempts.values().stream()
                .filter(attemptState -> attemptState.state == AttemptStatus.State.RUNNING)
                .map(attemptState -> attemptState.start)
                .toList();
    }

    // -----------------------------------------------------------------------
    private void checkLease(WorkerLease lease) {
        advance();
        if (token == null || !token.equals(lease.token())) {
            throw leaseNotHeld("the lease '" + lease.token() + "' is not in force");
        }
    }

    private void advance() {
        if (down) {
            throw new StandlinkException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the worker is unavailable", "try again later");
        }
        long now = clock.nowMillis();
        boolean expired = token != null && now >= leaseExpiryMillis;
        long end = expired ? leaseExpiryMillis : now;
        attempts.values().forEach(attemptState -> advance(attemptState, end));
        if (expired) {
            token = null;
            attempts.values().stream()
                    .filter(attemptState -> attemptState.state == AttemptStatus.State.RUNNING)
                    .forEach(attemptState -> attemptState.state = AttemptStatus.State.STOPPED);
        }
    }

    private void advance(AttemptState attemptState, long end) {
        if (attemptState.state != AttemptStatus.State.RUNNING
                || end <= attemptState.updatedAtMillis) {
            return;
        }
        attemptState.progressMillis +=
                (end - attemptState.updatedAtMillis)
                        * attemptState.throttlePercent
                        / (double) UNTHROTTLED_PERCENT;
        attemptState.updatedAtMillis = end;
        if (attemptState.progressMillis
                >= attemptState.start.runSeconds() * runFactor * MILLIS_PER_SECOND) {
            attemptState.state = AttemptStatus.State.FINISHED;
        }
    }

    private Resources sumGranted() {
        Resources sum = Resources.NONE;
        for (AttemptState attemptState : attempts.values()) {
            if (attemptState.state == AttemptStatus.State.RUNNING) {
                sum = sum.plus(attemptState.start.resources());
            }
        }
        return sum;
    }

    private AttemptStatus toStatus(AttemptState attemptState) {
        Resources reserved = attemptState.start.resources();
        Resources used =
                new Resources(
                        Math.round(reserved.milliCores() * usageFactor),
                        Math.round(reserved.memoryMegabytes() * usageFactor),
                        reserved.accelerators());
        boolean running = attemptState.state == AttemptStatus.State.RUNNING;
        return new AttemptStatus(
                attemptState.start.task(),
                attemptState.start.attempt(),
                attemptState.state,
                Long.toString((long) attemptState.progressMillis),
                reserved,
                running ? used : null);
    }

    private static StandlinkException leaseNotHeld(String problem) {
        return new StandlinkException(
                ErrorCode.LEASE_LAPSED,
                problem,
                "acquire the lease again and list the running attempts");
    }
}
