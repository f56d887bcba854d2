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
 * The runs that the leader has ordered to start or stop on an incarnation of a worker.
 *
 * <p>A call without an answer may be carried out later, so it is repeated until the worker has
 * reported the state of the run.
 *
 * <p>{@code RunTable} is not thread-safe; it is confined to the agent's event loop.
 */
final class RunTable {

    /** The delay before a call is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** How long a stopped run may remain listed as running without an end, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 1000;

    private static final EventLog LOG = EventLog.of(RunTable.class);

    private final WorkerContext context;

    /** Supplies whether the worker answered the last renewal. */
    private final BooleanSupplier reachable;

    private final WorkerLeaseClock leaseClock;

    /** Supplies the end of the lease, on the agent's clock, in milliseconds. */
    private final Supplier<Long> leaseEnd;

    /** Called when there is something to report. */
    private final Runnable onChange;

    private final Map<RunId, LocalRun> runs = new LinkedHashMap<>();

    /** The runs that the worker rejected as superseded. */
    private final SupersededRuns supersededRuns = new SupersededRuns();

    /** The runs whose starts under an earlier fence may still be carried out. */
    private final Set<RunId> unresolvedStarts = new HashSet<>();

    /** The runs to be reported as released. */
    private final ReleasedRuns released = new ReleasedRuns();

    /** The lists that the worker sent last. */
    private ReportedRuns reportedRuns = ReportedRuns.NONE;

    private final RunShareUpdater shareUpdater;

    /**
     * The fence under which a stop was refused, since the worker has seen a higher one; or null.
     */
    private Fence refusedFence;

    RunTable(
            WorkerContext context,
            BooleanSupplier reachable,
            WorkerLeaseClock leaseClock,
            Supplier<Long> leaseEnd,
            Runnable onChange) {
        this.context = context;
        this.reachable = reachable;
        this.leaseClock = leaseClock;
        this.leaseEnd = leaseEnd;
        this.onChange = onChange;
        this.shareUpdater = new RunShareUpdater(context);
    }

    /** Removes all runs; calls in progress then have no further effect here. */
    void clear() {
        runs.clear();
        supersededRuns.clear();
    }

    /**
     * Removes the runs that have not started or are being stopped; the leader sends their orders
     * again.
     */
    void dropAllButRunning() {
        runs.values().stream()
                .filter(run -> run.isCallInProgress() || run.isStartOutcomeUnknown())
                .forEach(run -> unresolvedStarts.add(run.getRun()));
        runs.values().removeIf(run -> run.getPhase() != LocalRun.Phase.RUNNING);
    }

    /**
     * Records that the worker has seen the fence in force, so that it refuses calls under earlier
     * ones.
     */
    void fenceAccepted() {
        unresolvedStarts.clear();
    }

    /**
     * Gets the runs to be reported as released.
     *
     * @return the runs, which may be modified
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
     * Starts a run. A run that is already known is ignored, and so is one whose release has yet to
     * be reported to the leader: it would run beside the run that replaces it.
     *
     * @param order the order
     * @param resent whether an earlier process of the agent may have received the order
     */
    void start(StartOrder order, boolean resent) {
        if (runs.containsKey(order.run()) || released.contains(order.run())) {
            return;
        }
        LocalRun run = new LocalRun(order.run(), order, LocalRun.Phase.STARTING);
        if (unresolvedStarts.contains(order.run())) {
            run.setStartOutcomeUnknown();
        }
        runs.put(order.run(), run);
        if (resent) {
            run.setPossiblyRunning(context.clock().nowMillis());
        }
        if (reportedRuns.isRunning(order.run())) {
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
            // Its stop is already being repeated; a second series of calls would add to the load.
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
            context.schedule(RETRY_DELAY_MILLIS, () -> callStart(run));
            return;
        }
        run.setCallInProgress(true);
        long leaseUntil = leaseClock.grantUntil(leaseEnd.get());
        CompletableFuture<CallResult> answer =
                context.client()
                        .start(
                                context.worker().get(),
                                run.getOrder(),
                                leaseUntil,
                                context.fence().get());
        context.whenAnswered("start", answer, result -> handleStartAnswer(run, result));
    }

    /** Finds what prevents runs from being started now; empty if nothing does. */
    private String findObstacle() {
        if (!leaseClock.isKnown()) {
            return "the worker's clock";
        }
        if (!reachable.getAsBoolean()) {
            return "an answer of the worker";
        }
        return leaseEnd.get() <= context.clock().nowMillis() ? "a lease" : "";
    }

    private void handleStartAnswer(LocalRun run, CallResult result) {
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
                context.schedule(RETRY_DELAY_MILLIS, () -> callStart(run));
            }
            case LEASE_PAST -> context.schedule(RETRY_DELAY_MILLIS, () -> callStart(run));
            case NO_ROOM, UNWELL, INVALID -> handleRefusal(run, result);
            case EVACUATED -> handleEvacuation(run, result);
            case SUPERSEDED -> handleSuperseded(run);
            case FENCED, OTHER_LIFE -> runs.remove(run.getRun());
        }
    }

    /**
     * Handles a refused start. If an earlier call for the run was not answered, that call may still
     * be carried out, so the run is released only after it has been stopped.
     */
    private void handleRefusal(LocalRun run, CallResult result) {
        if (run.isStartOutcomeUnknown()) {
            stop(run.getRun());
            return;
        }
        if (run.isPossiblyRunning() && result.kind() != CallResult.Kind.NO_ROOM) {
            // An unhealthy worker refuses even runs that it is running; its next list shows which.
            context.schedule(RETRY_DELAY_MILLIS, () -> callStart(run));
            return;
        }
        runs.remove(run.getRun());
        released.addRefused(
                new StartRefusal(run.getRun(), result.detail(), result.isWorkerToBeAvoided()));
        onChange.run();
    }

    /**
     * A run that is running in an evacuated hall continues; one that has not started is returned to
     * the leader.
     */
    private void handleEvacuation(LocalRun run, CallResult result) {
        if (reportedRuns.isRunning(run.getRun())) {
            run.setPhase(LocalRun.Phase.RUNNING);
            applyShare(run);
        } else {
            handleRefusal(run, result);
        }
    }

    /** The worker has seen the end of this run, or of a later one; its next list shows which. */
    private void handleSuperseded(LocalRun run) {
        runs.remove(run.getRun());
        supersededRuns.add(run.getRun(), context.clock().nowMillis());
    }

    private void releaseAsGone(RunId run) {
        released.addGone(run);
        onChange.run();
    }

    /**
     * The answer to a call for a superseded order must not affect a later order for the same run.
     */
    private boolean isDropped(LocalRun run) {
        return runs.get(run.getRun()) != run;
    }

    private void callStop(LocalRun run) {
        if (run.isCallInProgress() || run.getPhase() != LocalRun.Phase.STOPPING || isDropped(run)) {
            return;
        }
        Fence currentFence = context.fence().get();
        if (!reachable.getAsBoolean() || currentFence.equals(refusedFence)) {
            context.schedule(RETRY_DELAY_MILLIS, () -> callStop(run));
            return;
        }
        run.setCallInProgress(true);
        CompletableFuture<CallResult> answer =
                context.client().stop(context.worker().get(), run.getRun(), currentFence);
        context.whenAnswered("stop", answer, result -> handleStopAnswer(run, result, currentFence));
    }

    private void handleStopAnswer(LocalRun run, CallResult result, Fence sentFence) {
        run.setCallInProgress(false);
        context.logResult("stop", run.getRun(), result);
        if (isDropped(run)) {
            return;
        }
        if (result.kind() == CallResult.Kind.FENCED) {
            // The newer leader's order for the same stop may have been ignored meanwhile.
            refusedFence = sentFence;
        }
        switch (result.kind()) {
            case DONE -> run.markStopped(context.clock().nowMillis());
            case OTHER_LIFE -> runs.remove(run.getRun());
            default -> context.schedule(RETRY_DELAY_MILLIS, () -> callStop(run));
        }
    }

    /**
     * Updates the runs from the worker's lists.
     *
     * @param running the runs that are running
     * @param ended the ends that have not been recorded
     * @param sentAt when the lists were requested, on the agent's clock, in milliseconds
     */
    void reconcile(List<RunProgress> running, List<RunEnd> ended, long sentAt) {
        reportedRuns = new ReportedRuns(running, ended);
        for (RunEnd end : ended) {
            runs.remove(end.run());
        }
        runs.values().stream()
                .filter(run -> !reportedRuns.isRunning(run.getRun()))
                .forEach(run -> run.markNotListed(sentAt));
        for (RunProgress progress : running) {
            LocalRun run = runs.get(progress.run());
            if (run != null && run.getPhase() == LocalRun.Phase.STARTING) {
                run.setPhase(LocalRun.Phase.RUNNING);
            }
        }
        if (ended.size() >= RunListTracker.MAX_LISTED_ENDS) {
            return;
        }
        supersededRuns.removeGone(reportedRuns, sentAt).forEach(this::releaseAsGone);
        for (LocalRun run : List.copyOf(runs.values())) {
            boolean timedOut =
                    run.getPhase() == LocalRun.Phase.STOPPED
                            && sentAt - run.getStoppedAt() > STOP_TIMEOUT_MILLIS;
            if (timedOut && reportedRuns.isRunning(run.getRun())) {
                // Further orders to stop it are ignored here, so nothing else would repeat the
                // call.
                run.setPhase(LocalRun.Phase.STOPPING);
                callStop(run);
            } else if (timedOut) {
                runs.remove(run.getRun());
                releaseAsGone(run.getRun());
            }
        }
    }

    // -----------------------------------------------------------------------
    /**
     * Sets the shares of time for which best-effort runs may run.
     *
     * @param shareByImage supplies the share of an image, in percent
     */
    void throttle(ToIntFunction<String> shareByImage) {
        shareUpdater.setShares(shareByImage);
        runs.values().forEach(this::applyShare);
    }

    private void applyShare(LocalRun run) {
        shareUpdater.apply(run, () -> callStop(run));
    }
}
