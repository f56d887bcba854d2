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
 * Carries out the leader's orders on one life of a worker, and keeps its lease up.
 *
 * <p>A call without an answer may be carried out later, so it is repeated until the worker has said
 * what became of the run.
 *
 * <p>{@code WorkerSupervisor} is not thread-safe; the agent's loop owns it.
 */
final class WorkerSupervisor {

    /**
     * How long a renewal waits for an end, in milliseconds; the figures of serving runs are as old.
     */
    private static final long WAIT_MILLIS = 400;

    /** The pause before a failed call is repeated, in milliseconds. */
    private static final long PAUSE_MILLIS = 150;

    /** How long recorded ends are waited for before the next renewal, in milliseconds. */
    private static final long RECORD_MILLIS = 100;

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    /** The calls that renew the worker's lease. */
    private final LeaseRenewer renewalCalls;

    private final MonotonicClock clock;

    private final ScheduledExecutorService loop;

    /** The series of renewals. */
    private final LeaseRenewalLoop renewals;

    /** Tells until when runs may go on, on the agent's clock. */
    private final Supplier<Long> leaseEnd;

    /** Tells the fence of the orders in force. */
    private final Supplier<Fence> fence;

    /** Is told when there is something to report. */
    private final Runnable whenChanged;

    /** Finds out whether this life is there, and whether it is over. */
    private final IncarnationTracker watch;

    /** The runs that the leader has spoken of. */
    private final RunTable runs;

    /** What the worker's clock says. */
    private final WorkerLeaseClock leaseClock;

    /** Throttles best-effort runs. */
    private final WorkerThrottle throttle;

    /** What the worker said of itself. */
    private final ReportedWorkerState heard;

    /** What the worker said of its runs. */
    private final RunListTracker lists = new RunListTracker();

    /** Whether orders to start have come under the fence in force. */
    private boolean startsTold;

    /** Whether orders were voided for the lapse that goes on; until the worker answers again. */
    private boolean lapseNoted;

    /** Whether the leader has yet to answer the report of a lapse; nothing is started meanwhile. */
    private boolean lapseUntold;

    /** Whether the worker answered the last call. */
    private boolean reachable;

    /** The fence that the worker refused, since it has seen a higher one; null if it did not. */
    private Fence refusedFence;

    /** Whether this supervisor is closed. */
    private boolean closed;

    /**
     * Constructor.
     *
     * @param worker what the worker said of itself
     * @param calls the calls of workers
     * @param clock the clock
     * @param loop the agent's loop
     * @param leaseEnd tells until when runs may go on, on the agent's clock
     * @param fence tells the fence of the orders in force
     * @param whenChanged is told when there is something to report
     * @param observer is told what the worker's answers show
     * @param harm what is believed of images
     */
    WorkerSupervisor(
            WorkerDescription worker,
            WorkerClient calls,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            Supplier<Long> leaseEnd,
            Supplier<Fence> fence,
            Runnable whenChanged,
            IncarnationListener observer,
            InterferenceTable harm) {
        this.heard = new ReportedWorkerState(worker);
        this.clock = clock;
        this.loop = loop;
        this.renewals = new LeaseRenewalLoop(loop, PAUSE_MILLIS, () -> renew(0));
        this.leaseEnd = leaseEnd;
        this.fence = fence;
        this.whenChanged = whenChanged;
        this.watch = new IncarnationTracker(worker.incarnation(), observer);
        this.throttle = new WorkerThrottle(harm);
        // An earlier process of the agent may have told the worker to keep its runs until then.
        this.leaseClock =
                new WorkerLeaseClock(
                        clock.nowMillis() + CellTimes.MAX_LEASE_MILLIS,
                        millis -> observer.clockFellBehind(worker.incarnation(), millis));
        WorkerContext context = new WorkerContext(heard::getDescription, calls, clock, loop, fence);
        this.renewalCalls = new LeaseRenewer(context, leaseClock, lists, this::getLeaseEnd);
        this.runs =
                new RunTable(context, () -> reachable, leaseClock, this::getLeaseEnd, whenChanged);
    }

    /** Begins to look after the worker. */
    void start() {
        renew(0);
    }

    /** Ends; this life is over. */
    void close() {
        closed = true;
        runs.clear();
    }

    /**
     * Takes note of what the worker said of itself.
     *
     * @param told the description
     * @param number the number of the heartbeat
     */
    void heartbeatReceived(WorkerDescription told, long number) {
        if (heard.update(told, number, reachable)) {
            whenChanged.run();
        }
    }

    /**
     * Takes the leader's orders.
     *
     * @param orders the orders, under the fence in force
     */
    void applyOrders(RunOrders orders) {
        orders.stops().forEach(runs::stop);
        if (lapseUntold) {
            orders.starts().forEach(order -> runs.getReleased().addGone(order.run()));
        } else {
            // The first that are told under a fence are all that should run, also since before.
            boolean toldAnew = !startsTold;
            startsTold |= !orders.starts().isEmpty();
            orders.starts().forEach(order -> runs.start(order, toldAnew));
        }
        long before = lists.getRecordedEnd();
        if (lists.advanceRecordedEnd(orders.recordedEnd())) {
            LOG.info("ends-recorded")
                    .with("worker", heard.getIncarnation())
                    .with("before", before)
                    .with("number", orders.recordedEnd())
                    .with("epoch", orders.epoch())
                    .write();
        }
    }

    /**
     * Takes note that a higher fence is in force, so that what has not begun is void. A worker that
     * answers is asked at once, as whoever waits for its lists under that fence keeps tasks back.
     */
    void fenceRaised() {
        startsTold = false;
        runs.dropAllButRunning();
        if (reachable) {
            askNow();
        }
    }

    /**
     * Takes note that the worker, or an earlier life under its id, has said that it has left. That
     * it was the present one shows when it does not answer any more.
     */
    void workerLeft() {
        watch.departureReceived(heard.getDescription().draining(), reachable, clock.nowMillis());
    }

    /**
     * Voids all orders once the worker's lease is over. The report that says so makes the leader
     * give the runs to others, so that none may be started any more, even if its answer is lost.
     */
    void dropOrdersIfLapsed() {
        if (isLapsed() && !lapseNoted) {
            lapseNoted = true;
            lapseUntold = true;
            runs.dropAllButRunning();
            LOG.info("orders-superseded")
                    .with("worker", heard.getIncarnation())
                    .with("fence", fence.get())
                    .write();
        }
    }

    /**
     * Checks whether the worker has seen a higher fence than the one in force, as another agent or
     * an earlier process of this one may have called it.
     *
     * @return true if the leader has to raise the generation
     */
    boolean isFenceRefused() {
        return fence.get().equals(refusedFence);
    }

    /**
     * Makes a report.
     *
     * @return the report
     */
    WorkerReport createReport() {
        return new WorkerReport(
                heard.getDescription(),
                reachable,
                lapseUntold || isLapsed(),
                lists.isKnown(),
                lists.getRunning(),
                lists.getEnded(),
                runs.getReleased().getRefused(),
                runs.getReleased().getGone(),
                throttle.listThrottled(),
                lists.isCompleteUnder(fence.get()));
    }

    /**
     * Takes note that the leader has had a report.
     *
     * @param sent the report
     */
    void reportAcknowledged(WorkerReport sent) {
        runs.getReleased().removeReported(sent.refused(), sent.gone());
        if (sent.lapsed()) {
            lapseUntold = false;
            runs.clear();
            lists.clearUnlessReachable(reachable);
        }
    }

    /**
     * Checks whether this life has answered a call, so that no other has taken its address before.
     *
     * @return true if so
     */
    boolean isConfirmed() {
        return watch.isConfirmed();
    }

    /**
     * Gets the life of the worker.
     *
     * @return what it said of itself
     */
    WorkerDescription getDescription() {
        return heard.getDescription();
    }

    // -----------------------------------------------------------------------
    private boolean isLapsed() {
        return watch.isConfirmed() && !reachable && leaseClock.isExpired(clock.nowMillis());
    }

    /** Tells until when runs may go on; a lapse that the leader does not know of ends a lease. */
    private long getLeaseEnd() {
        return lapseUntold ? 0 : leaseEnd.get();
    }

    private void renew(long waitMillis) {
        if (closed) {
            return;
        }
        if (isFenceRefused()) {
            // Whoever has been replaced stays silent until it knows the higher fence.
            renewals.schedule(PAUSE_MILLIS);
            return;
        }
        long sentAt = clock.nowMillis();
        Fence present = fence.get();
        renewals.whenAnswered(
                renewalCalls.renew(present, reachable, waitMillis),
                result -> held(result, present, sentAt));
    }

    /** Asks for the lists beside the renewals, of which one may wait for an end. */
    private void askNow() {
        Fence present = fence.get();
        long sentAt = clock.nowMillis();
        Guarded.thenOn(
                "worker-list",
                renewalCalls.requestLists(present, reachable),
                loop,
                (result, failure) -> {
                    if (failure == null
                            && !closed
                            && result.isDone()
                            && !watch.checkReplaced(result)) {
                        takeLists(result, present, sentAt);
                    }
                });
    }

    private void held(RenewalResult result, Fence sentFence, long sentAt) {
        if (closed || watch.checkReplaced(result)) {
            return;
        }
        boolean fenced = result.result().kind() == CallResult.Kind.FENCED;
        if (fenced && fence.get().isAfter(sentFence)) {
            // A call under the higher fence has overtaken this one; the worker is well.
            renew(0);
            return;
        }
        if (fenced && !sentFence.equals(refusedFence)) {
            refusedFence = sentFence;
            LOG.info("fence-refused")
                    .with("worker", heard.getIncarnation())
                    .with("fence", sentFence)
                    .write();
        }
        leaseClock.answerReceived(result.result().clockMillis(), clock.nowMillis());
        boolean answers = result.isDone();
        if (answers != reachable) {
            reachable = answers;
            LOG.info(answers ? "worker-regained" : "worker-lost")
                    .with("worker", heard.getIncarnation())
                    .with("detail", result.result().detail())
                    .write();
            // At once, so that nothing more is given to a worker that is gone.
            whenChanged.run();
        }
        if (!answers) {
            watch.callUnanswered();
            renewals.schedule(PAUSE_MILLIS);
            return;
        }
        lapseNoted = false;
        watch.answerReceived(sentAt);
        takeLists(result, sentFence, sentAt);
        if (lists.getEnded().isEmpty()) {
            renew(WAIT_MILLIS);
        } else {
            renewals.schedule(RECORD_MILLIS);
        }
    }

    private void takeLists(RenewalResult result, Fence sentFence, long sentAt) {
        boolean listedBefore = lists.isCompleteUnder(fence.get());
        boolean news = !lists.isKnown() || !result.ended().isEmpty();
        if (!lists.update(result, sentFence)) {
            // A call under a higher fence has overtaken this one, and its lists are newer.
            return;
        }
        if (sentFence.equals(fence.get())) {
            runs.fenceAccepted();
        }
        runs.reconcile(lists.getRunning(), lists.getEnded(), sentAt);
        throttle.apply(heard.getIncarnation(), lists.getRunning(), runs, clock.nowMillis());
        if (news || listedBefore != lists.isCompleteUnder(fence.get())) {
            whenChanged.run();
        }
    }
}
