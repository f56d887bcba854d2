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
import java.util.function.ToIntFunction;
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

    private static final EventLog LOG = EventLog.of(RunTable.class);

    private final WorkerContext context;

    private final StartConditions conditions;

    /** Called when there is something to report. */
    private final Runnable onChange;

    /** Requests the lists of the worker. */
    private final Runnable listRequester;

    private final Map<RunId, LocalRun> runs = new LinkedHashMap<>();

    /** The runs that the worker rejected as superseded. */
    private final SupersededRuns supersededRuns = new SupersededRuns();

    /** The runs whose starts under an earlier fence may still be carried out. */
    private final Set<RunId> unresolvedStarts = new HashSet<>();

    /** The start calls that a later incarnation of the worker may still carry out. */
    private final InDoubtStarts inDoubtStarts = new InDoubtStarts();

    /** The runs to be reported as released. */
    private final ReleasedRuns released = new ReleasedRuns();

    /** The lists that the worker sent last. */
    private ReportedRuns reportedRuns = ReportedRuns.NONE;

    private final RunShareUpdater shareUpdater;

    private final RunStopper stopper;

    RunTable(
            WorkerContext context,
            StartConditions conditions,
            Runnable onChange,
            Runnable listRequester) {
        this.context = context;
        this.conditions = conditions;
        this.onChange = onChange;
        this.listRequester = listRequester;
        this.shareUpdater = new RunShareUpdater(context);
        this.stopper = new RunStopper(context, conditions.reachable(), runs);
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
     * Gets the start calls that a later incarnation of the worker may still carry out.
     *
     * @return the calls; none if the incarnations of the worker have different ids
     */
    InDoubtStarts getInDoubtStarts() {
        return inDoubtStarts;
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
     * Starts a run. A run that is already known is ignored, and so is one whose end is listed, and
     * one whose release has yet to be reported to the leader: it would run beside the run that
     * replaces it.
     *
     * @param order the order
     * @param resent whether an earlier process of the agent may have received the order
     */
    void start(StartOrder order, boolean resent) {
        if (runs.containsKey(order.run())
                || reportedRuns.hasEnded(order.run())
                || released.contains(order.run())) {
            return;
        }
        LocalRun run = new LocalRun(order.run(), order, LocalRun.Phase.STARTING);
        long now = context.clock().nowMillis();
        boolean inDoubt = inDoubtStarts.contains(order.run(), now);
        boolean listed = reportedRuns.isRunning(order.run());
        if (inDoubt || unresolvedStarts.contains(order.run())) {
            run.setStartOutcomeUnknown();
        }
        runs.put(order.run(), run);
        if (resent) {
            run.setPossiblyRunning(now);
        }
        if (listed) {
            // It was started by an earlier process of this agent, which may have throttled it.
            run.setShare(LocalRun.UNKNOWN_SHARE);
        }
        if (listed && context.mayKeepId()) {
            run.setPhase(LocalRun.Phase.RUNNING);
            applyShare(run);
        } else if (inDoubt) {
            callStartAfterList(run);
        } else {
            callStart(run);
        }
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
        stopper.callStop(run);
    }

    // -----------------------------------------------------------------------
    private void callStart(LocalRun run) {
        if (run.isCallInProgress() || run.getPhase() != LocalRun.Phase.STARTING || isDropped(run)) {
            return;
        }
        String obstacle = conditions.findObstacle();
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
        if (conditions.acknowledgements().deferStart(() -> callStart(run))) {
            return;
        }
        run.setCallInProgress(true);
        long inDoubtUntil =
                context.mayKeepId()
                        ? inDoubtStarts.beginCall(
                                run.getRun(), context.fence().get(), context.clock().nowMillis())
                        : 0;
        long leaseUntil = conditions.leaseClock().grantUntil(conditions.leaseEnd().getAsLong());
        CompletableFuture<CallResult> answer =
                context.client()
                        .start(
                                context.worker().get(),
                                run.getOrder(),
                                leaseUntil,
                                context.fence().get());
        context.whenAnswered(
                "start", answer, result -> handleStartAnswer(run, result, inDoubtUntil));
    }

    private void handleStartAnswer(LocalRun run, CallResult result, long inDoubtUntil) {
        run.setCallInProgress(false);
        inDoubtStarts.endCall(run.getRun(), inDoubtUntil, result.kind());
        conditions.leaseClock().answerReceived(result.clockMillis(), context.clock().nowMillis());
        if (result.kind() != CallResult.Kind.DONE) {
            context.logResult("start", run.getRun(), result);
        }
        if (isDropped(run)) {
            return;
        }
        if (run.getPhase() == LocalRun.Phase.STOPPING) {
            stopper.callStop(run);
            return;
        }
        switch (result.kind()) {
            case DONE -> {
                run.setPhase(LocalRun.Phase.RUNNING);
                applyShare(run);
            }
            case UNKNOWN -> handleMissingAnswer(run);
            case LEASE_PAST -> context.schedule(RETRY_DELAY_MILLIS, () -> callStart(run));
            case NO_ROOM, UNWELL, INVALID -> handleRefusal(run, result);
            case EVACUATED -> handleEvacuation(run, result);
            case SUPERSEDED -> handleSuperseded(run);
            case FENCED, OTHER_LIFE -> runs.remove(run.getRun());
        }
    }

    /**
     * Handles a start call without an answer. If the next incarnation of the worker may have the
     * same id, the call is repeated only if a list shows that it has not been carried out: each
     * repetition is another call that may be carried out late.
     */
    private void handleMissingAnswer(LocalRun run) {
        run.setStartOutcomeUnknown();
        Runnable retry = context.mayKeepId() ? () -> callStartAfterList(run) : () -> callStart(run);
        context.schedule(RETRY_DELAY_MILLIS, retry);
    }

    private void callStartAfterList(LocalRun run) {
        run.awaitList(context.clock().nowMillis());
        listRequester.run();
    }

    private void repeatStart(LocalRun run) {
        if (run.getPhase() == LocalRun.Phase.STARTING
                && inDoubtStarts.requireHigherFence(run.getRun(), context.clock().nowMillis())) {
            onChange.run();
        }
        callStart(run);
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
        inDoubtStarts.resolveListed(reportedRuns);
        for (RunProgress progress : running) {
            LocalRun run = runs.get(progress.run());
            if (run != null && run.getPhase() == LocalRun.Phase.STARTING) {
                run.setPhase(LocalRun.Phase.RUNNING);
            }
        }
        if (ended.size() >= RunListTracker.MAX_LISTED_ENDS) {
            return;
        }
        List.copyOf(runs.values()).stream()
                .filter(run -> run.takeAwaitedList(sentAt))
                .forEach(this::repeatStart);
        supersededRuns.removeGone(reportedRuns, sentAt).forEach(this::releaseAsGone);
        stopper.reconcile(reportedRuns, sentAt).forEach(this::releaseAsGone);
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
        shareUpdater.apply(run, () -> stopper.callStop(run));
    }
}
