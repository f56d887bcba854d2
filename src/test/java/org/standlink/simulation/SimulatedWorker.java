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
package org.standlink.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.wire.StartOrder;

/**
 * One incarnation of a worker, which behaves as adversely as the specification of workers allows.
 */
final class SimulatedWorker {

    /** The resources of each task. */
    static final Resources TASK_RESOURCES = new Resources(1000, 100, 0);

    /** The specification of a task that runs until it is stopped. */
    static final String RUNS_UNTIL_STOPPED = "for ever";

    /** The specification of a task that crashes each worker that starts it. */
    static final String CRASHES = "crashes";

    /** The specification of a task that crashes its worker after some seconds of work. */
    static final String CRASHES_LATE = "crashes late";

    /** Maximum time from the start of a task that crashes its worker to the crash. */
    private static final long MAX_CRASH_DELAY_MILLIS = 20;

    private static final long MAX_LATE_CRASH_DELAY_MILLIS = 6000;

    private static final long MAX_LEASE_MILLIS = 6000;
    private static final long MAX_STOP_MILLIS = 400;
    private static final int FAILING_PERCENT = 4;

    private final SimulationEnvironment environment;
    private final InvariantChecker checker;
    private final WorkerIncarnation incarnation;
    private final HallId hall;
    private final Resources capacity;
    private final boolean enforcesCapacity;
    private final long startedAt;
    private final double clockRate;
    private final Map<RunId, ActiveRun> activeRuns = new LinkedHashMap<>();
    private final Map<TaskName, Integer> lastBarredRunNumbers = new HashMap<>();
    private final List<RunEnd> unacknowledgedEnds = new ArrayList<>();
    private final List<Runnable> waitingRenewals = new ArrayList<>();
    private long fence;
    private long leaseExpiryMillis;
    private long lastEndNumber;
    private boolean up = true;
    private Runnable crashHandler = this::crash;

    /** A run with its start time and its duration; 0 means until it is stopped. */
    private record ActiveRun(long startedAt, long durationMillis) {}

    SimulatedWorker(
            SimulationEnvironment environment,
            InvariantChecker checker,
            WorkerIncarnation incarnation,
            HallId hall,
            Resources capacity,
            boolean enforcesCapacity) {
        this.environment = environment;
        this.checker = checker;
        this.incarnation = incarnation;
        this.hall = hall;
        this.capacity = capacity;
        this.enforcesCapacity = enforcesCapacity;
        this.startedAt = environment.now();
        this.clockRate = 1 - environment.draw(0, 20) / 1000.0;
    }

    WorkerIncarnation getIncarnation() {
        return incarnation;
    }

    HallId getHall() {
        return hall;
    }

    /** Sets the action to run when a task crashes this worker. */
    void setCrashHandler(Runnable handler) {
        crashHandler = handler;
    }

    boolean isUp() {
        return up;
    }

    /** Gets the time of the worker's own clock, which runs up to 2 % slow. */
    long clockMillis() {
        return 5000 + (long) ((environment.now() - startedAt) * clockRate);
    }

    /** Ends this incarnation without notice. */
    void crash() {
        up = false;
        activeRuns.keySet().forEach(run -> checker.recordLostRun(this, run));
        activeRuns.clear();
    }

    /** Executes a late renewal that acknowledges ends of a former incarnation. */
    void executeLateRenewal(long recordedEnd) {
        renew(-1, fence, recordedEnd, 0);
    }

    /** Ends all runs as failed. */
    void failRuns() {
        List.copyOf(activeRuns.keySet()).forEach(run -> endRun(run, RunEndKind.FAILED));
    }

    // -----------------------------------------------------------------------
    CallResult start(StartOrder order, long until, long token, boolean delayed) {
        RunId run = order.run();
        if (!admitToken(token)) {
            return result(CallResult.Kind.FENCED);
        }
        // A lease end in the past is ignored if a later call has already extended the lease.
        extendLease(until);
        if (activeRuns.containsKey(run)) {
            return result(CallResult.Kind.DONE);
        }
        if (run.number() <= lastBarredRunNumbers.getOrDefault(run.task(), 0)) {
            return result(CallResult.Kind.SUPERSEDED);
        }
        if (leaseExpiryMillis <= clockMillis()) {
            return result(CallResult.Kind.LEASE_PAST);
        }
        Resources usage =
                new Resources(
                        TASK_RESOURCES.milliCores() * (activeRuns.size() + 1),
                        TASK_RESOURCES.memoryMegabytes() * (activeRuns.size() + 1),
                        0);
        if (enforcesCapacity && !usage.fitsIn(capacity)) {
            return result(CallResult.Kind.NO_ROOM);
        }
        checker.recordStart(this, run, delayed);
        checker.checkCapacity(this, usage, capacity, run);
        beginRun(run, order.specification());
        return result(CallResult.Kind.DONE);
    }

    private void beginRun(RunId run, String specification) {
        if (specification.equals(CRASHES) || specification.equals(CRASHES_LATE)) {
            long maxDelayMillis =
                    specification.equals(CRASHES)
                            ? MAX_CRASH_DELAY_MILLIS
                            : MAX_LATE_CRASH_DELAY_MILLIS;
            activeRuns.put(run, new ActiveRun(environment.now(), 2 * MAX_LATE_CRASH_DELAY_MILLIS));
            environment.schedule(
                    environment.draw(maxDelayMillis / 2, maxDelayMillis), () -> crashDuring(run));
            return;
        }
        boolean untilStopped = specification.equals(RUNS_UNTIL_STOPPED);
        long durationMillis = untilStopped ? 0 : Long.parseLong(specification);
        boolean fails = environment.chance(FAILING_PERCENT);
        activeRuns.put(run, new ActiveRun(environment.now(), durationMillis));
        if (fails) {
            long delayMillis =
                    untilStopped
                            ? environment.draw(500, 9000)
                            : environment.draw(1, durationMillis);
            environment.schedule(delayMillis, () -> endRun(run, RunEndKind.FAILED));
        } else if (!untilStopped) {
            environment.schedule(durationMillis, () -> endRun(run, RunEndKind.DONE));
        }
    }

    private void crashDuring(RunId run) {
        if (up && activeRuns.containsKey(run)) {
            checker.recordCrash(run.task());
            crashHandler.run();
        }
    }

    CallResult stop(RunId run, long token) {
        if (!admitToken(token)) {
            return result(CallResult.Kind.FENCED);
        }
        lastBarredRunNumbers.merge(run.task(), run.number(), Math::max);
        environment.schedule(
                environment.draw(1, MAX_STOP_MILLIS), () -> endRun(run, RunEndKind.STOPPED));
        return result(CallResult.Kind.DONE);
    }

    /** Extends the lease and answers at the next end of a run or after the wait time. */
    CompletableFuture<RenewalResult> renew(
            long until, long token, long recordedEnd, long waitMillis) {
        if (!admitToken(token)) {
            return CompletableFuture.completedFuture(
                    RenewalResult.notDone(result(CallResult.Kind.FENCED)));
        }
        if (until >= 0) {
            extendLease(until);
        }
        checker.recordPersistedEnds(this, recordedEnd);
        unacknowledgedEnds.removeIf(end -> end.number() <= recordedEnd);
        CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
        Runnable respond = () -> answer.complete(listRuns());
        if (!unacknowledgedEnds.isEmpty() || waitMillis == 0) {
            respond.run();
        } else {
            waitingRenewals.add(respond);
            environment.schedule(waitMillis, respond);
        }
        return answer;
    }

    // -----------------------------------------------------------------------
    private boolean admitToken(long token) {
        fence = Math.max(fence, token);
        return token >= fence;
    }

    private void extendLease(long until) {
        long expiryMillis = Math.min(until, clockMillis() + MAX_LEASE_MILLIS);
        if (expiryMillis > leaseExpiryMillis) {
            leaseExpiryMillis = expiryMillis;
            scheduleLapse();
        }
    }

    private void scheduleLapse() {
        long remainingMillis = leaseExpiryMillis - clockMillis();
        environment.schedule(
                Math.max(1, (long) Math.ceil(remainingMillis / clockRate)), this::lapseIfExpired);
    }

    /** Ends all runs; without runs, the lapse still matters for ends that are not persisted. */
    private void lapseIfExpired() {
        if (!up || clockMillis() < leaseExpiryMillis) {
            return;
        }
        environment.trace("LAPSED " + incarnation + " with active runs: " + activeRuns.size());
        checker.recordLapse(this);
        List.copyOf(activeRuns.keySet()).forEach(run -> endRun(run, RunEndKind.LAPSED));
    }

    private void endRun(RunId run, RunEndKind kind) {
        if (!up || activeRuns.remove(run) == null) {
            return;
        }
        lastBarredRunNumbers.merge(run.task(), run.number(), Math::max);
        unacknowledgedEnds.add(new RunEnd(lastEndNumber + 1, run, kind, ""));
        lastEndNumber++;
        checker.recordEnd(this, run, kind, lastEndNumber);
        List<Runnable> responses = List.copyOf(waitingRenewals);
        waitingRenewals.clear();
        responses.forEach(Runnable::run);
    }

    private CallResult result(CallResult.Kind kind) {
        return new CallResult(kind, clockMillis(), "simulated");
    }

    private RenewalResult listRuns() {
        return new RenewalResult(
                result(CallResult.Kind.DONE),
                incarnation,
                activeRuns.entrySet().stream().map(this::toProgress).toList(),
                List.copyOf(unacknowledgedEnds));
    }

    private RunProgress toProgress(Map.Entry<RunId, ActiveRun> entry) {
        ActiveRun activeRun = entry.getValue();
        long age = environment.now() - activeRun.startedAt();
        int percent =
                activeRun.durationMillis() == 0
                        ? 100
                        : (int) (age * 100 / activeRun.durationMillis());
        return new RunProgress(entry.getKey(), "", percent, 0);
    }
}
