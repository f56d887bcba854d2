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

/** One life of a worker, by the worst reading of what its page allows. */
final class SimulatedWorker {

    /** What each task takes. */
    static final Resources TASK_RESOURCES = new Resources(1000, 100, 0);

    /** The specification of a task that runs until it is stopped. */
    static final String RUNS_UNTIL_STOPPED = "for ever";

    /** The specification of a task that crashes each worker that starts it. */
    static final String CRASHES = "crashes";

    /** The specification of a task that crashes its worker after some seconds of work. */
    static final String CRASHES_LATE = "crashes late";

    /** How long such tasks are at work at most. */
    private static final long CRASH_MILLIS = 20;

    private static final long LATE_CRASH_MILLIS = 6000;

    private static final long MOST_HOLD_MILLIS = 6000;
    private static final long STOP_MILLIS = 400;
    private static final int FAILING_PERCENT = 4;

    private final SimulationEnvironment world;
    private final InvariantChecker referee;
    private final WorkerIncarnation id;
    private final HallId hall;
    private final Resources capacity;
    private final boolean guarded;
    private final long bornAt;
    private final double rate;
    private final Map<RunId, Work> running = new LinkedHashMap<>();
    private final Map<TaskName, Integer> barred = new HashMap<>();
    private final List<RunEnd> ended = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long fence;
    private long holdUntil;
    private long lastNumber;
    private boolean up = true;
    private Runnable whenCrashing = this::crash;

    /** A run at work: when it began and how long it takes, 0 for ever. */
    private record Work(long begunAt, long millis) {}

    SimulatedWorker(
            SimulationEnvironment world,
            InvariantChecker referee,
            WorkerIncarnation id,
            HallId hall,
            Resources capacity,
            boolean guarded) {
        this.world = world;
        this.referee = referee;
        this.id = id;
        this.hall = hall;
        this.capacity = capacity;
        this.guarded = guarded;
        this.bornAt = world.now();
        this.rate = 1 - world.draw(0, 20) / 1000.0;
    }

    WorkerIncarnation getIncarnation() {
        return id;
    }

    HallId getHall() {
        return hall;
    }

    /** Sets what happens when a task crashes this worker. */
    void setCrashHandler(Runnable effect) {
        whenCrashing = effect;
    }

    boolean isUp() {
        return up;
    }

    long clockMillis() {
        return 5000 + (long) ((world.now() - bornAt) * rate);
    }

    /** Ends this life without a word. */
    void crash() {
        up = false;
        running.keySet().forEach(run -> referee.recordLostRun(this, run));
        running.clear();
    }

    // -----------------------------------------------------------------------
    CallResult start(StartOrder order, long until, long token, boolean late) {
        RunId run = order.run();
        if (!admit(token)) {
            return result(CallResult.Kind.FENCED);
        }
        // An end that is past does not matter if the worker holds its runs for longer by now.
        hold(until);
        if (running.containsKey(run)) {
            return result(CallResult.Kind.DONE);
        }
        if (run.number() <= barred.getOrDefault(run.task(), 0)) {
            return result(CallResult.Kind.SUPERSEDED);
        }
        if (holdUntil <= clockMillis()) {
            return result(CallResult.Kind.LEASE_PAST);
        }
        Resources taken =
                new Resources(
                        TASK_RESOURCES.milliCores() * (running.size() + 1),
                        TASK_RESOURCES.memoryMegabytes() * (running.size() + 1),
                        0);
        if (guarded && !taken.fitsIn(capacity)) {
            return result(CallResult.Kind.NO_ROOM);
        }
        referee.recordStart(this, run, late);
        referee.checkCapacity(this, taken, capacity, run);
        begin(run, order.specification());
        return result(CallResult.Kind.DONE);
    }

    private void begin(RunId run, String specification) {
        if (specification.equals(CRASHES) || specification.equals(CRASHES_LATE)) {
            long most = specification.equals(CRASHES) ? CRASH_MILLIS : LATE_CRASH_MILLIS;
            running.put(run, new Work(world.now(), 2 * LATE_CRASH_MILLIS));
            world.schedule(world.draw(most / 2, most), () -> crashUnder(run));
            return;
        }
        boolean lasts = specification.equals(RUNS_UNTIL_STOPPED);
        long millis = lasts ? 0 : Long.parseLong(specification);
        boolean fails = world.chance(FAILING_PERCENT);
        running.put(run, new Work(world.now(), millis));
        if (fails) {
            long after = lasts ? world.draw(500, 9000) : world.draw(1, millis);
            world.schedule(after, () -> end(run, RunEndKind.FAILED));
        } else if (!lasts) {
            world.schedule(millis, () -> end(run, RunEndKind.DONE));
        }
    }

    private void crashUnder(RunId run) {
        if (up && running.containsKey(run)) {
            referee.recordCrash(run.task());
            whenCrashing.run();
        }
    }

    CallResult stop(RunId run, long token) {
        if (!admit(token)) {
            return result(CallResult.Kind.FENCED);
        }
        barred.merge(run.task(), run.number(), Math::max);
        world.schedule(world.draw(1, STOP_MILLIS), () -> end(run, RunEndKind.STOPPED));
        return result(CallResult.Kind.DONE);
    }

    /** Holds the runs, and answers at the first end or after a while. */
    CompletableFuture<RenewalResult> renew(
            long until, long token, long recordedEnd, long waitMillis) {
        if (!admit(token)) {
            return CompletableFuture.completedFuture(
                    RenewalResult.notDone(result(CallResult.Kind.FENCED)));
        }
        if (until >= 0) {
            hold(until);
        }
        referee.recordPersistedEnds(this, recordedEnd);
        ended.removeIf(end -> end.number() <= recordedEnd);
        CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
        Runnable tell = () -> answer.complete(lists());
        if (!ended.isEmpty() || waitMillis == 0) {
            tell.run();
        } else {
            waiting.add(tell);
            world.schedule(waitMillis, tell);
        }
        return answer;
    }

    // -----------------------------------------------------------------------
    private boolean admit(long token) {
        fence = Math.max(fence, token);
        return token >= fence;
    }

    private void hold(long until) {
        long wanted = Math.min(until, clockMillis() + MOST_HOLD_MILLIS);
        if (wanted > holdUntil) {
            holdUntil = wanted;
            lapseWhenDue();
        }
    }

    private void lapseWhenDue() {
        long rest = holdUntil - clockMillis();
        world.schedule(Math.max(1, (long) Math.ceil(rest / rate)), this::lapseIfDue);
    }

    /** The hold runs out also where nothing runs, which matters for ends not recorded yet. */
    private void lapseIfDue() {
        if (!up || clockMillis() < holdUntil) {
            return;
        }
        world.trace("LAPSES " + id + " with " + running.size());
        referee.recordLapse(this);
        List.copyOf(running.keySet()).forEach(run -> end(run, RunEndKind.LAPSED));
    }

    private void end(RunId run, RunEndKind kind) {
        if (!up || running.remove(run) == null) {
            return;
        }
        barred.merge(run.task(), run.number(), Math::max);
        ended.add(new RunEnd(lastNumber + 1, run, kind, ""));
        lastNumber++;
        referee.recordEnd(this, run, kind, lastNumber);
        List<Runnable> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(Runnable::run);
    }

    private CallResult result(CallResult.Kind kind) {
        return new CallResult(kind, clockMillis(), "simulated");
    }

    private RenewalResult lists() {
        return new RenewalResult(
                result(CallResult.Kind.DONE),
                id,
                running.entrySet().stream().map(this::progress).toList(),
                List.copyOf(ended));
    }

    private RunProgress progress(Map.Entry<RunId, Work> entry) {
        Work work = entry.getValue();
        long age = world.now() - work.begunAt();
        int percent = work.millis() == 0 ? 100 : (int) (age * 100 / work.millis());
        return new RunProgress(entry.getKey(), "", percent, 0);
    }
}
