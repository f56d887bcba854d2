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

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.standlink.Fence;
import org.standlink.cell.CellTimes;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.wire.RunOrders;
import org.standlink.wire.WorkerReport;

/**
 * Carries out the leader's orders on an incarnation of a worker, and renews its lease.
 *
 * <p>A call without an answer may be carried out later, so it is repeated until the worker has
 * reported the state of the run.
 *
 * <p>{@code WorkerSupervisor} is not thread-safe; it is confined to the agent's event loop.
 */
final class WorkerSupervisor {

    /**
     * How long a renewal waits for a run to end, in milliseconds; the measurements of serving runs
     * are up to that old.
     */
    private static final long RENEWAL_WAIT_MILLIS = 400;

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** The delay of the next renewal while ends are being recorded, in milliseconds. */
    private static final long RECORDING_DELAY_MILLIS = 100;

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    private final LeaseRenewer renewer;

    private final MonotonicClock clock;

    private final ScheduledExecutorService loop;

    private final LeaseRenewalLoop renewalLoop;

    /** Supplies the end of the lease, on the agent's clock, in milliseconds. */
    private final Supplier<Long> leaseEnd;

    /** Supplies the fence of the orders in force. */
    private final Supplier<Fence> fence;

    /** Called when there is something to report. */
    private final Runnable onChange;

    private final IncarnationTracker tracker;

    private final RunTable runs;

    private final WorkerLeaseClock leaseClock;

    private final WorkerThrottle throttle;

    private final ReportedWorkerState workerState;

    private final RunListTracker runLists = new RunListTracker();

    /** Whether start orders have been received under the fence in force. */
    private boolean startsReceived;

    private final LapseTracker lapse = new LapseTracker();

    /** Whether the worker answered the last call. */
    private boolean reachable;

    private final FenceRequirement fenceRequirement;

    private final EndAcknowledgements acknowledgements;

    private boolean closed;

    WorkerSupervisor(
            WorkerDescription worker,
            WorkerClient client,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            Supplier<Long> leaseEnd,
            Supplier<Fence> fence,
            Runnable onChange,
            IncarnationListener listener,
            InterferenceTable interference) {
        this.workerState = new ReportedWorkerState(worker);
        this.clock = clock;
        this.loop = loop;
        this.renewalLoop = new LeaseRenewalLoop(loop, RETRY_DELAY_MILLIS, () -> renew(0));
        this.leaseEnd = leaseEnd;
        this.fence = fence;
        this.onChange = onChange;
        this.tracker = new IncarnationTracker(worker.incarnation(), listener);
        this.throttle = new WorkerThrottle(interference);
        // An earlier process of the agent may have granted a lease up to then.
        this.leaseClock =
                new WorkerLeaseClock(
                        clock.nowMillis() + CellTimes.MAX_LEASE_MILLIS,
                        millis -> listener.clockFellBehind(worker.incarnation(), millis));
        WorkerContext context =
                new WorkerContext(workerState::getDescription, client, clock, loop, fence);
        this.acknowledgements = new EndAcknowledgements(context, runLists, onChange);
        this.renewer = new LeaseRenewer(context, leaseClock, acknowledgements, this::getLeaseEnd);
        StartConditions conditions =
                new StartConditions(
                        () -> reachable, leaseClock, this::getLeaseEnd, clock, acknowledgements);
        this.runs = new RunTable(context, conditions, onChange, this::requestListsNow);
        acknowledgements.addInDoubtStarts(runs.getInDoubtStarts());
        this.fenceRequirement =
                new FenceRequirement(context, runs.getInDoubtStarts(), acknowledgements);
    }

    /**
     * Starts supervising the worker.
     *
     * @param startsOfEnded the start calls to ended incarnations, which may be modified
     */
    void start(InDoubtStarts startsOfEnded) {
        acknowledgements.addInDoubtStarts(startsOfEnded);
        start();
    }

    /** Starts supervising the worker, which had no earlier incarnation. */
    void start() {
        renew(0);
    }

    /** Closes this supervisor after the incarnation has ended. */
    void close() {
        closed = true;
        runs.clear();
    }

    /**
     * Handles a heartbeat.
     *
     * @param reported the description in the heartbeat
     * @param sequence the sequence number of the heartbeat
     */
    void heartbeatReceived(WorkerDescription reported, long sequence) {
        if (workerState.update(reported, sequence, reachable)) {
            onChange.run();
        }
    }

    /**
     * Applies orders of the leader.
     *
     * @param orders the orders, under the fence in force
     */
    void applyOrders(RunOrders orders) {
        orders.stops().forEach(runs::stop);
        if (lapse.isUnacknowledged()) {
            orders.starts().forEach(order -> runs.getReleased().addGone(order.run()));
        } else {
            // The first starts received under a fence name all runs that should be running,
            // including those that were started before.
            boolean resent = !startsReceived;
            startsReceived |= !orders.starts().isEmpty();
            orders.starts().forEach(order -> runs.start(order, resent));
        }
        acknowledgements.recordEnds(orders);
    }

    /**
     * Handles a raised fence, which supersedes orders that have not been carried out. A reachable
     * worker is asked for its lists at once, as the leader holds tasks until it has the lists under
     * the new fence.
     */
    void fenceRaised() {
        startsReceived = false;
        runs.dropAllButRunning();
        if (reachable) {
            requestListsNow();
        }
    }

    /**
     * Handles a departure message of the worker or of an earlier incarnation under its id. It was
     * sent by this incarnation if it no longer answers.
     */
    void workerLeft() {
        tracker.departureReceived(
                workerState.getDescription().draining(), reachable, clock.nowMillis());
    }

    /**
     * Drops all orders once the worker's lease has expired. The report of the lapse makes the
     * leader assign the runs to other workers, so none may be started any more, even if its answer
     * is lost.
     */
    void dropOrdersIfLapsed() {
        if (isLapsed() && lapse.recordLapse()) {
            runs.dropAllButRunning();
            LOG.info("orders-superseded")
                    .with("worker", workerState.getIncarnation())
                    .with("fence", fence.get())
                    .write();
        }
    }

    /**
     * Checks whether a higher fence than the one in force is required.
     *
     * @return true if the leader has to raise the generation
     */
    boolean isHigherFenceRequired() {
        return fenceRequirement.isHigherFenceRequired();
    }

    /**
     * Creates a report.
     *
     * @return the report
     */
    WorkerReport createReport() {
        return new WorkerReport(
                workerState.getDescription(),
                reachable,
                lapse.isUnacknowledged() || isLapsed(),
                runLists.isKnown(),
                runLists.getRunning(),
                runLists.getEnded(),
                runs.getReleased().getRefused(),
                runs.getReleased().getGone(),
                throttle.listThrottled(),
                runLists.isCompleteUnder(fence.get()),
                runs.getInDoubtStarts().list(clock.nowMillis()));
    }

    /**
     * Gets the start calls that a later incarnation of the worker may still carry out.
     *
     * @return the calls
     */
    InDoubtStarts getInDoubtStarts() {
        return runs.getInDoubtStarts();
    }

    /**
     * Handles the acknowledgement of a report by the leader.
     *
     * @param sent the report
     */
    void reportAcknowledged(WorkerReport sent) {
        runs.getReleased().removeReported(sent.refused(), sent.gone());
        if (sent.lapsed()) {
            lapse.markAcknowledged();
            runs.clear();
            runLists.clearUnlessReachable(reachable);
        }
    }

    /**
     * Checks whether this incarnation has answered a call, so that no other had already taken its
     * address.
     *
     * @return true if it has answered
     */
    boolean isConfirmed() {
        return tracker.isConfirmed();
    }

    /**
     * Gets the last reported description of the worker.
     *
     * @return the description
     */
    WorkerDescription getDescription() {
        return workerState.getDescription();
    }

    // -----------------------------------------------------------------------
    private boolean isLapsed() {
        return tracker.isConfirmed() && !reachable && leaseClock.isExpired(clock.nowMillis());
    }

    /** Gets the end of the lease; a lapse that the leader has not acknowledged ends it. */
    private long getLeaseEnd() {
        return lapse.isUnacknowledged() ? 0 : leaseEnd.get();
    }

    private void renew(long waitMillis) {
        if (closed) {
            return;
        }
        if (fenceRequirement.isRefused()) {
            // A replaced agent sends nothing until it knows the higher fence.
            renewalLoop.schedule(RETRY_DELAY_MILLIS);
            return;
        }
        long sentAt = clock.nowMillis();
        Fence currentFence = fence.get();
        renewalLoop.whenAnswered(
                renewer.renew(currentFence, reachable, waitMillis),
                result -> handleRenewalAnswer(result, currentFence, sentAt));
    }

    /**
     * Requests the lists independently of the renewals, of which one may be waiting for a run to
     * end.
     */
    private void requestListsNow() {
        Fence currentFence = fence.get();
        long sentAt = clock.nowMillis();
        Guarded.onCompletionAsync(
                "worker-list",
                renewer.requestLists(currentFence, reachable),
                loop,
                (result, failure) -> {
                    if (failure == null
                            && !closed
                            && result.isDone()
                            && !tracker.checkReplaced(result)) {
                        applyLists(result, currentFence, sentAt);
                    }
                });
    }

    private void handleRenewalAnswer(RenewalResult result, Fence sentFence, long sentAt) {
        if (closed || tracker.checkReplaced(result)) {
            return;
        }
        boolean fenced = result.result().kind() == CallResult.Kind.FENCED;
        if (fenced && fence.get().isAfter(sentFence)) {
            // A call under the higher fence has overtaken this one; the worker is healthy.
            renew(0);
            return;
        }
        if (fenced) {
            fenceRequirement.recordRefusal(sentFence);
        }
        leaseClock.answerReceived(result.result().clockMillis(), clock.nowMillis());
        boolean answered = result.isDone();
        if (answered != reachable) {
            reachable = answered;
            LOG.info(answered ? "worker-regained" : "worker-lost")
                    .with("worker", workerState.getIncarnation())
                    .with("detail", result.result().detail())
                    .write();
            // At once, so that nothing more is assigned to an unreachable worker.
            onChange.run();
        }
        if (!answered) {
            tracker.callUnanswered();
            renewalLoop.schedule(RETRY_DELAY_MILLIS);
            return;
        }
        lapse.reset();
        tracker.answerReceived(sentAt);
        applyLists(result, sentFence, sentAt);
        if (runLists.getEnded().isEmpty() && !acknowledgements.isWithheld()) {
            renew(RENEWAL_WAIT_MILLIS);
        } else {
            renewalLoop.schedule(RECORDING_DELAY_MILLIS);
        }
    }

    private void applyLists(RenewalResult result, Fence sentFence, long sentAt) {
        boolean wasComplete = runLists.isCompleteUnder(fence.get());
        boolean changed = !runLists.isKnown() || !result.ended().isEmpty();
        if (!runLists.update(result, sentFence)) {
            // A call under a higher fence has overtaken this one, and its lists are newer.
            return;
        }
        if (sentFence.equals(fence.get())) {
            runs.fenceAccepted();
        }
        runs.reconcile(runLists.getRunning(), runLists.getEnded(), sentAt);
        throttle.apply(
                workerState.getIncarnation(), runLists.getRunning(), runs, clock.nowMillis());
        if (changed || wasComplete != runLists.isCompleteUnder(fence.get())) {
            onChange.run();
        }
    }
}
