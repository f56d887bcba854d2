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
package org.standlink.runner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.standlink.Epoch;
import org.standlink.job.RunEnd;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.StartOrder;
import org.standlink.wire.StartRefusal;

/**
 * The runs that the leader wants started or stopped on one life of a worker.
 *
 * <p>A call without an answer may be carried out later, so it is repeated until the worker has said
 * what became of the run.
 *
 * <p>{@code RunTable} is not thread-safe; the agent's loop owns it.
 */
final class RunTable {

    /** The pause before a failed call is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 150;

    /** How long a superseded run may take to be listed, in milliseconds; one look at the worker. */
    private static final long LIST_MILLIS = 600;

    /** For how long a stopped run without an end may still be listed, in milliseconds. */
    private static final long STOP_MILLIS = 1000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(RunTable.class);

    /** Tells what the worker said of itself. */
    private final Supplier<WorkerDescription> worker;

    /** Tells whether the worker answered the last look at it. */
    private final BooleanSupplier reachable;

    /** What the worker's clock says. */
    private final WorkerLeaseClock leaseClock;

    /** The calls of workers. */
    private final WorkerCalls calls;

    /** The clock. */
    private final MonotonicClock clock;

    /** The agent's loop. */
    private final ScheduledExecutorService loop;

    /** Tells until when runs may go on, on the agent's clock. */
    private final Supplier<Long> leaseEnd;

    /** Tells the newest epoch. */
    private final Supplier<Epoch> epoch;

    /** Is told when there is something to report. */
    private final Runnable whenChanged;

    /** The runs. */
    private final Map<RunId, LocalRun> runs = new LinkedHashMap<>();

    /** What was refused and has not been reported. */
    private final List<StartRefusal> refused = new ArrayList<>();

    /** What is gone without an end and has not been reported. */
    private final List<RunId> gone = new ArrayList<>();

    /** What runs, as the worker said last. */
    private List<RunProgress> running = List.of();

    /** The ends that have not been recorded, as the worker said last. */
    private List<RunEnd> ended = List.of();

    /** Tells the worker the shares of best-effort runs. */
    private final RunShares shares;

    /** The epoch under which a stop was refused, since the worker has seen a newer one; or null. */
    private Epoch refusedEpoch;

    /**
     * Constructor.
     *
     * @param worker tells what the worker said of itself
     * @param reachable tells whether the worker answered the last look at it
     * @param leaseClock what the worker's clock says
     * @param calls the calls of workers
     * @param clock the clock
     * @param loop the agent's loop
     * @param leaseEnd tells until when runs may go on, on the agent's clock
     * @param epoch tells the newest epoch
     * @param whenChanged is told when there is something to report
     */
    RunTable(
            Supplier<WorkerDescription> worker,
            BooleanSupplier reachable,
            WorkerLeaseClock leaseClock,
            WorkerCalls calls,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            Supplier<Long> leaseEnd,
            Supplier<Epoch> epoch,
            Runnable whenChanged) {
        this.worker = worker;
        this.reachable = reachable;
        this.leaseClock = leaseClock;
        this.calls = calls;
        this.clock = clock;
        this.loop = loop;
        this.leaseEnd = leaseEnd;
        this.epoch = epoch;
        this.whenChanged = whenChanged;
        this.shares = new RunShares(worker, calls, loop, epoch);
    }

    /** Forgets all runs; calls under way have no effect here any more. */
    void clear() {
        runs.clear();
    }

    /**
     * Gets what was refused and has not been reported.
     *
     * @return the refusals
     */
    List<StartRefusal> getRefused() {
        return List.copyOf(refused);
    }

    /**
     * Gets what is gone without an end and has not been reported.
     *
     * @return the runs
     */
    List<RunId> getGone() {
        return List.copyOf(gone);
    }

    /**
     * Takes note that the leader has been told.
     *
     * @param toldRefused the refusals
     * @param toldGone the runs that are gone
     */
    void reported(List<StartRefusal> toldRefused, List<RunId> toldGone) {
        refused.removeAll(toldRefused);
        gone.removeAll(toldGone);
    }

    /**
     * Finds the order by which a run was started.
     *
     * @param id the run
     * @return the order, null if this agent has none
     */
    StartOrder findOrder(RunId id) {
        LocalRun run = runs.get(id);
        return run == null ? null : run.getOrder();
    }

    /**
     * Starts a run; one that is known already is passed over.
     *
     * @param order the order
     */
    void start(StartOrder order) {
        LocalRun present = runs.get(order.run());
        if (present != null) {
            return;
        }
        LocalRun run = new LocalRun(order.run(), order, LocalRun.Phase.STARTING);
        runs.put(order.run(), run);
        if (isListed(order.run())) {
            // It was started by an earlier process of this agent, which may have throttled it.
            run.setShare(LocalRun.UNKNOWN_SHARE);
        }
        callStart(run);
    }

    /**
     * Stops a run.
     *
     * @param id the run
     */
    void stop(RunId id) {
        LocalRun run = runs.get(id);
        if (run == null) {
            run = new LocalRun(id, null, LocalRun.Phase.STOPPING);
            runs.put(id, run);
        } else if (run.isStopOrdered()) {
            // Its stop is being repeated already; a second series of calls would add up.
            return;
        }
        run.setPhase(LocalRun.Phase.STOPPING);
        callStop(run);
    }

    // -----------------------------------------------------------------------
    private void callStart(LocalRun run) {
        if (run.isCalling() || run.getPhase() != LocalRun.Phase.STARTING) {
            return;
        }
        if (!runs.containsKey(run.getRun())) {
            return;
        }
        if (!leaseClock.isKnown()
                || !reachable.getAsBoolean()
                || leaseEnd.get() <= clock.nowMillis()) {
            loop.schedule(() -> callStart(run), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        run.setCalling(true);
        long until = leaseClock.renew(leaseEnd.get());
        calls.start(worker.get(), run.getOrder(), until, epoch.get())
                .thenAcceptAsync(result -> started(run, result), loop);
    }

    private void started(LocalRun run, CallResult result) {
        run.setCalling(false);
        leaseClock.answered(result.clockMillis(), clock.nowMillis());
        if (result.kind() != CallResult.Kind.DONE) {
            logCall("start", run, result);
        }
        if (run.getPhase() == LocalRun.Phase.STOPPING) {
            callStop(run);
            return;
        }
        switch (result.kind()) {
            case DONE -> {
                run.setPhase(LocalRun.Phase.RUNNING);
                applyShare(run);
            }
            case UNKNOWN -> {
                run.setUncertain();
                loop.schedule(() -> callStart(run), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            }
            case LEASE_PAST ->
                    loop.schedule(() -> callStart(run), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            case NO_ROOM, UNWELL, INVALID -> refused(run, result);
            case SUPERSEDED -> superseded(run);
            case FENCED, OTHER_LIFE -> runs.remove(run.getRun());
        }
    }

    /**
     * The worker refuses a run. If an earlier call for it was left without an answer, that call may
     * still be carried out, so the run is only over once it is stopped.
     */
    private void refused(LocalRun run, CallResult result) {
        if (run.isUncertain()) {
            stop(run.getRun());
            return;
        }
        runs.remove(run.getRun());
        boolean unwell = result.kind() == CallResult.Kind.UNWELL;
        refused.add(new StartRefusal(run.getRun(), result.detail(), unwell));
        whenChanged.run();
    }

    /**
     * The worker has seen the end of this run, or a later one; if the end is not listed, say so.
     */
    private void superseded(LocalRun run) {
        runs.remove(run.getRun());
        boolean listed = ended.stream().anyMatch(end -> end.run().equals(run.getRun()));
        if (!listed) {
            loop.schedule(() -> reportIfGone(run), LIST_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportIfGone(LocalRun run) {
        boolean listed = ended.stream().anyMatch(end -> end.run().equals(run.getRun()));
        if (!listed && !isListed(run.getRun())) {
            gone.add(run.getRun());
            whenChanged.run();
        }
    }

    private boolean isListed(RunId run) {
        return running.stream().anyMatch(one -> one.run().equals(run));
    }

    private void callStop(LocalRun run) {
        if (run.isCalling() || run.getPhase() != LocalRun.Phase.STOPPING) {
            return;
        }
        if (!runs.containsKey(run.getRun())) {
            return;
        }
        Epoch present = epoch.get();
        if (!reachable.getAsBoolean() || present.equals(refusedEpoch)) {
            loop.schedule(() -> callStop(run), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        run.setCalling(true);
        calls.stop(worker.get(), run.getRun(), present)
                .thenAcceptAsync(result -> stopped(run, result, present), loop);
    }

    private void stopped(LocalRun run, CallResult result, Epoch sentEpoch) {
        run.setCalling(false);
        logCall("stop", run, result);
        if (result.kind() == CallResult.Kind.FENCED) {
            // The newer leader's order for the same stop may have been passed over meanwhile.
            refusedEpoch = sentEpoch;
        }
        switch (result.kind()) {
            case DONE -> run.stopped(clock.nowMillis());
            case OTHER_LIFE -> runs.remove(run.getRun());
            default -> loop.schedule(() -> callStop(run), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void logCall(String call, LocalRun run, CallResult result) {
        LOG.info("worker-" + call)
                .with("run", run.getRun())
                .with("worker", worker.get().id())
                .with("epoch", epoch.get())
                .with("result", result.kind())
                .with("detail", result.detail())
                .write();
    }

    /**
     * Brings what is known of each run in line with the worker's lists.
     *
     * @param nowRunning what runs
     * @param nowEnded the ends that have not been recorded
     * @param sentAt when the worker was asked
     */
    void settle(List<RunProgress> nowRunning, List<RunEnd> nowEnded, long sentAt) {
        running = nowRunning;
        ended = nowEnded;
        for (RunEnd end : ended) {
            runs.remove(end.run());
        }
        for (RunProgress progress : running) {
            LocalRun run = runs.get(progress.run());
            if (run != null && run.getPhase() == LocalRun.Phase.STARTING) {
                run.setPhase(LocalRun.Phase.RUNNING);
            }
        }
        for (LocalRun run : List.copyOf(runs.values())) {
            boolean over =
                    run.getPhase() == LocalRun.Phase.STOPPED
                            && sentAt - run.getStoppedAt() > STOP_MILLIS;
            if (over && isListed(run.getRun())) {
                // Further orders to stop it are passed over here, so nobody else would repeat it.
                run.setPhase(LocalRun.Phase.STOPPING);
                callStop(run);
            } else if (over) {
                runs.remove(run.getRun());
                gone.add(run.getRun());
                whenChanged.run();
            }
        }
    }

    // -----------------------------------------------------------------------
    /**
     * Sets the share of time for which best-effort runs work.
     *
     * @param byImage tells the share of an image, in percent
     */
    void throttle(ToIntFunction<String> byImage) {
        shares.set(byImage);
        runs.values().forEach(this::applyShare);
    }

    private void applyShare(LocalRun run) {
        shares.apply(run, () -> callStop(run));
    }
}
