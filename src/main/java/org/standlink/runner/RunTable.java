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

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.standlink.Fence;
import org.standlink.job.RunEnd;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
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

    /** For how long a stopped run without an end may still be listed, in milliseconds. */
    private static final long STOP_MILLIS = 1000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(RunTable.class);

    /** What calls of the worker need. */
    private final WorkerContext context;

    /** Tells whether the worker answered the last look at it. */
    private final BooleanSupplier reachable;

    /** What the worker's clock says. */
    private final WorkerLeaseClock leaseClock;

    /** Tells until when runs may go on, on the agent's clock. */
    private final Supplier<Long> leaseEnd;

    /** Is told when there is something to report. */
    private final Runnable whenChanged;

    /** The runs. */
    private final Map<RunId, LocalRun> runs = new LinkedHashMap<>();

    /** The runs that the worker turned away as old ones. */
    private final SupersededRuns superseded = new SupersededRuns();

    /** The runs whose starts under an older fence may still be carried out. */
    private final Set<RunId> unsure = new HashSet<>();

    /** What the leader is to be told of as released. */
    private final ReleasedRuns released = new ReleasedRuns();

    /** What the worker said last. */
    private ReportedRuns lists = ReportedRuns.NONE;

    /** Tells the worker the shares of best-effort runs. */
    private final RunShareUpdater shares;

    /** The fence under which a stop was refused, as the worker has seen a higher one; or null. */
    private Fence refusedFence;

    /**
     * Constructor.
     *
     * @param context what calls of the worker need
     * @param reachable tells whether the worker answered the last look at it
     * @param leaseClock what the worker's clock says
     * @param leaseEnd tells until when runs may go on, on the agent's clock
     * @param whenChanged is told when there is something to report
     */
    RunTable(
            WorkerContext context,
            BooleanSupplier reachable,
            WorkerLeaseClock leaseClock,
            Supplier<Long> leaseEnd,
            Runnable whenChanged) {
        this.context = context;
        this.reachable = reachable;
        this.leaseClock = leaseClock;
        this.leaseEnd = leaseEnd;
        this.whenChanged = whenChanged;
        this.shares = new RunShareUpdater(context);
    }

    /** Forgets all runs; calls under way have no effect here any more. */
    void clear() {
        runs.clear();
        superseded.clear();
    }

    /** Forgets the runs that have not begun or are being stopped; the leader tells them anew. */
    void dropAllButRunning() {
        runs.values().stream()
                .filter(run -> run.isCallInProgress() || run.isStartOutcomeUnknown())
                .forEach(run -> unsure.add(run.getRun()));
        runs.values().removeIf(run -> run.getPhase() != LocalRun.Phase.RUNNING);
    }

    /** Takes note that the worker has seen the fence in force, so that it refuses older calls. */
    void fenceAccepted() {
        unsure.clear();
    }

    /**
     * Gets what the leader is to be told of as released.
     *
     * @return the runs, which change
     */
    ReleasedRuns getReleased() {
        return released;
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
     * Starts a run; one that is known already is passed over, and one whose release the leader has
     * yet to be told of: it would begin beside the run that takes its place.
     *
     * @param order the order
     * @param toldAnew whether an earlier process of the agent may have been given it
     */
    void start(StartOrder order, boolean toldAnew) {
        if (runs.containsKey(order.run()) || released.contains(order.run())) {
            return;
        }
        LocalRun run = new LocalRun(order.run(), order, LocalRun.Phase.STARTING);
        if (unsure.contains(order.run())) {
            run.setStartOutcomeUnknown();
        }
        runs.put(order.run(), run);
        if (toldAnew) {
            run.setPossiblyRunning(context.clock().nowMillis());
        }
        if (lists.isRunning(order.run())) {
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
        if (run.isCallInProgress() || run.getPhase() != LocalRun.Phase.STARTING || isDropped(run)) {
            return;
        }
        String obstacle = findObstacle();
        if (!obstacle.isEmpty()) {
            if (run.markStartDeferred()) {
                LOG.info("start-waits")
                        .with("run", run.getRun())
                        .with("worker", context.worker().get().incarnation())
                        .with("for", obstacle)
                        .write();
            }
            context.schedule(PAUSE_MILLIS, () -> callStart(run));
            return;
        }
        run.setCallInProgress(true);
        long until = leaseClock.grantUntil(leaseEnd.get());
        CompletableFuture<CallResult> answer =
                context.client()
                        .start(
                                context.worker().get(),
                                run.getOrder(),
                                until,
                                context.fence().get());
        context.whenAnswered("start", answer, result -> started(run, result));
    }

    /** Tells what keeps runs from being started now; empty if nothing does. */
    private String findObstacle() {
        if (!leaseClock.isKnown()) {
            return "the worker's clock";
        }
        if (!reachable.getAsBoolean()) {
            return "an answer of the worker";
        }
        return leaseEnd.get() <= context.clock().nowMillis() ? "a lease" : "";
    }

    private void started(LocalRun run, CallResult result) {
        run.setCallInProgress(false);
        leaseClock.answerReceived(result.clockMillis(), context.clock().nowMillis());
        if (result.kind() != CallResult.Kind.DONE) {
            context.logResult("start", run.getRun(), result);
        }
        if (isDropped(run)) {
            return;
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
                run.setStartOutcomeUnknown();
                context.schedule(PAUSE_MILLIS, () -> callStart(run));
            }
            case LEASE_PAST -> context.schedule(PAUSE_MILLIS, () -> callStart(run));
            case NO_ROOM, UNWELL, INVALID -> refused(run, result);
            case EVACUATED -> evacuated(run, result);
            case SUPERSEDED -> superseded(run);
            case FENCED, OTHER_LIFE -> runs.remove(run.getRun());
        }
    }

    /**
     * The worker refuses a run. If an earlier call for it was left without an answer, that call may
     * still be carried out, so the run is only over once it is stopped.
     */
    private void refused(LocalRun run, CallResult result) {
        if (run.isStartOutcomeUnknown()) {
            stop(run.getRun());
            return;
        }
        if (run.isPossiblyRunning() && result.kind() != CallResult.Kind.NO_ROOM) {
            // An unwell worker refuses also what it runs; its next list tells.
            context.schedule(PAUSE_MILLIS, () -> callStart(run));
            return;
        }
        runs.remove(run.getRun());
        released.addRefused(
                new StartRefusal(run.getRun(), result.detail(), result.isWorkerToBeAvoided()));
        whenChanged.run();
    }

    /** What runs in an evacuated hall goes on; what has not begun goes back to the leader. */
    private void evacuated(LocalRun run, CallResult result) {
        if (lists.isRunning(run.getRun())) {
            run.setPhase(LocalRun.Phase.RUNNING);
            applyShare(run);
        } else {
            refused(run, result);
        }
    }

    /** The worker has seen the end of this run, or a later one; its next list tells which. */
    private void superseded(LocalRun run) {
        runs.remove(run.getRun());
        superseded.add(run.getRun(), context.clock().nowMillis());
    }

    private void lose(RunId run) {
        released.addGone(run);
        whenChanged.run();
    }

    /** What an answer says of a run whose order is void must not count for a later order. */
    private boolean isDropped(LocalRun run) {
        return runs.get(run.getRun()) != run;
    }

    private void callStop(LocalRun run) {
        if (run.isCallInProgress() || run.getPhase() != LocalRun.Phase.STOPPING || isDropped(run)) {
            return;
        }
        Fence present = context.fence().get();
        if (!reachable.getAsBoolean() || present.equals(refusedFence)) {
            context.schedule(PAUSE_MILLIS, () -> callStop(run));
            return;
        }
        run.setCallInProgress(true);
        CompletableFuture<CallResult> answer =
                context.client().stop(context.worker().get(), run.getRun(), present);
        context.whenAnswered("stop", answer, result -> stopped(run, result, present));
    }

    private void stopped(LocalRun run, CallResult result, Fence sentFence) {
        run.setCallInProgress(false);
        context.logResult("stop", run.getRun(), result);
        if (isDropped(run)) {
            return;
        }
        if (result.kind() == CallResult.Kind.FENCED) {
            // The newer leader's order for the same stop may have been passed over meanwhile.
            refusedFence = sentFence;
        }
        switch (result.kind()) {
            case DONE -> run.markStopped(context.clock().nowMillis());
            case OTHER_LIFE -> runs.remove(run.getRun());
            default -> context.schedule(PAUSE_MILLIS, () -> callStop(run));
        }
    }

    /**
     * Brings what is known of each run in line with the worker's lists.
     *
     * @param nowRunning what runs
     * @param nowEnded the ends that have not been recorded
     * @param sentAt when the worker was asked
     */
    void reconcile(List<RunProgress> nowRunning, List<RunEnd> nowEnded, long sentAt) {
        lists = new ReportedRuns(nowRunning, nowEnded);
        for (RunEnd end : nowEnded) {
            runs.remove(end.run());
        }
        runs.values().stream()
                .filter(run -> !lists.isRunning(run.getRun()))
                .forEach(run -> run.markNotListed(sentAt));
        for (RunProgress progress : nowRunning) {
            LocalRun run = runs.get(progress.run());
            if (run != null && run.getPhase() == LocalRun.Phase.STARTING) {
                run.setPhase(LocalRun.Phase.RUNNING);
            }
        }
        if (nowEnded.size() >= RunListTracker.MAX_LISTED_ENDS) {
            return;
        }
        superseded.removeGone(lists, sentAt).forEach(this::lose);
        for (LocalRun run : List.copyOf(runs.values())) {
            boolean over =
                    run.getPhase() == LocalRun.Phase.STOPPED
                            && sentAt - run.getStoppedAt() > STOP_MILLIS;
            if (over && lists.isRunning(run.getRun())) {
                // Further orders to stop it are passed over here, so nobody else would repeat it.
                run.setPhase(LocalRun.Phase.STOPPING);
                callStop(run);
            } else if (over) {
                runs.remove(run.getRun());
                lose(run.getRun());
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
        shares.setShares(byImage);
        runs.values().forEach(this::applyShare);
    }

    private void applyShare(LocalRun run) {
        shares.apply(run, () -> callStop(run));
    }
}
