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
package org.standlink.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.standlink.Resources;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.StartRefusal;
import org.standlink.wire.WorkerReport;

/**
 * Handles what agents report of their workers.
 *
 * <p>{@code AgentReportHandler} is not thread-safe; the leader's loop owns it.
 */
final class AgentReportHandler {

    /** For how long a worker that says it is unwell gets nothing new, in milliseconds. */
    private static final long UNWELL_MILLIS = 1500;

    /**
     * How long a run may stand still, in milliseconds: a run of 6 s, on a worker slowed sixfold and
     * crowded twofold, shows a further percent within half of it.
     */
    private static final long STALL_MILLIS = 1500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(AgentReportHandler.class);

    /** The jobs. */
    private final JobRegistry board;

    /** The workers. */
    private final WorkerRegistry workers;

    /** The agents. */
    private final AgentRegistry agents;

    /** Tells agents what to do. */
    private final OrderDispatcher orders;

    /** The clock. */
    private final MonotonicClock clock;

    /** Learns what moves cost. */
    private final MoveCostEstimator moveCost;

    /** Learns from figures. */
    private final InterferenceLearner figures;

    /** Finds tasks that crash their workers. */
    private final CrashDetector crashes;

    /** Takes runs off their workers. */
    private final RunReleaser releases;

    /** Decides what becomes of the runs of workers that have started again. */
    private final WorkerRestartHandler succession;

    /** Compares what runs with what should. */
    private final RunReconciler comparison;

    /**
     * Constructor.
     *
     * @param board the jobs
     * @param workers the workers
     * @param agents the agents
     * @param orders tells agents what to do
     * @param mostAttempts tells how many runs of a job's task may fail
     * @param clock the clock
     * @param figures learns from figures
     * @param moveCost learns what moves cost
     */
    AgentReportHandler(
            JobRegistry board,
            WorkerRegistry workers,
            AgentRegistry agents,
            OrderDispatcher orders,
            ToIntFunction<JobEntry> mostAttempts,
            MonotonicClock clock,
            InterferenceLearner figures,
            MoveCostEstimator moveCost) {
        this.board = board;
        this.workers = workers;
        this.agents = agents;
        this.orders = orders;
        this.clock = clock;
        this.figures = figures;
        this.moveCost = moveCost;
        this.crashes = new CrashDetector(clock);
        this.releases = new RunReleaser(board, workers, mostAttempts);
        this.succession = new WorkerRestartHandler(workers, agents, crashes, releases, clock);
        this.comparison = new RunReconciler(board, agents, orders);
    }

    /**
     * Handles a report.
     *
     * @param connection where it came from
     * @param report the report
     * @param leaseUntil until when the agent is granted a lease, on the leader's clock; 0 for none
     * @return false if it does not count, so that nothing was done
     */
    boolean handle(MessageChannel connection, AgentReport report, long leaseUntil) {
        if (!agents.isCurrent(report) || succession.detectRestarts(report)) {
            return false;
        }
        for (WorkerReport part : report.workers()) {
            WorkerEntry worker = workers.getOrAdd(part.worker().incarnation(), leaseUntil);
            if (worker.isEnded()) {
                continue;
            }
            worker.extendLease(leaseUntil);
            if (agents.isReachedByAnotherAgent(report.incarnation(), part, clock.nowMillis())) {
                continue;
            }
            boolean first = worker.getDescription() == null;
            worker.receiveReport(part.worker(), connection, part.reachable(), clock.nowMillis());
            worker.setAgent(report.incarnation());
            if (first) {
                workers.persistAddress(worker);
                workers.findReplacedBy(worker).forEach(this::replaced);
            }
            if (part.reachable()) {
                crashes.recordContact(worker).forEach(releases::markTaskChanged);
            }
            if (!succession.isResolutionPending(worker, part)) {
                handleWorker(worker, part, report);
            }
        }
        for (WorkerIncarnation dead : report.dead()) {
            WorkerEntry worker = workers.find(dead);
            if (worker != null && worker.isEnded()) {
                // Its runs stay placed until the life that follows has listed its own.
                continue;
            }
            if (worker != null) {
                replaced(worker);
            } else {
                crashes.recordEnd(dead).forEach(releases::markTaskChanged);
            }
        }
        return true;
    }

    private void replaced(WorkerEntry worker) {
        crashes.recordCrash(worker).forEach(releases::markTaskChanged);
        releases.releaseAll(worker, "worker-replaced");
        workers.remove(worker);
    }

    /**
     * Takes the jobs that have changed since this was called last.
     *
     * @return the jobs
     */
    Set<JobEntry> takeChangedJobs() {
        return releases.takeChangedJobs();
    }

    /**
     * Gives up all runs of a worker, since its lease is over; orders for them are void from now on.
     *
     * @param worker the worker
     * @param reason why, for the log
     */
    void abandonRuns(WorkerEntry worker, String reason) {
        if (!worker.listTasks().isEmpty()) {
            if (!worker.isEnded()) {
                crashes.recordLeaseExpiry(worker);
            }
            agents.raiseGeneration(worker.getAgent(), reason);
            releases.releaseAll(worker, reason);
        }
    }

    /** Stops runs that stand still, so that they go on elsewhere. */
    void stopStalledRuns() {
        long now = clock.nowMillis();
        crashes.removeExpired();
        for (WorkerEntry worker : workers.getWorkers()) {
            if (!worker.isReachable()) {
                // Its figures are old; its lease decides what becomes of its runs.
                continue;
            }
            List<TaskEntry> stalled =
                    worker.listTasks().stream()
                            .filter(task -> !isHeldBack(task, worker, now))
                            .filter(
                                    task ->
                                            task.detectStall(
                                                    worker.getLastReportMillis(), STALL_MILLIS))
                            .toList();
            for (TaskEntry task : stalled) {
                LOG.info("stalled")
                        .with("run", task.getRun())
                        .with("worker", worker.getIncarnation())
                        .write();
                workers.recordOutcome(worker, false, now);
            }
            orders.stopAfterCommit(stalled);
        }
    }

    /** A run that is throttled stands still on purpose. */
    private static boolean isHeldBack(TaskEntry task, WorkerEntry worker, long now) {
        return worker.getMetrics().isThrottled(task.getStep().image(), now, 0);
    }

    // -----------------------------------------------------------------------
    private void handleWorker(WorkerEntry worker, WorkerReport part, AgentReport report) {
        if (part.lapsed()) {
            abandonRuns(worker, "lease-lapsed");
        }
        part.running().forEach(progress -> saveProgress(progress, part.reachable()));
        worker.getMetrics().updateThrottled(part.throttled(), clock.nowMillis());
        figures.learn(worker, part.running());
        handleEnds(worker, part.ended());
        for (StartRefusal refusal : part.refused()) {
            refused(worker, refusal);
        }
        for (RunId run : part.gone()) {
            releaseRun(worker, run, "stopped-before-start");
        }
        if (part.known()) {
            comparison.reconcile(worker, part, report.incarnation());
        }
        if (part.worker().draining()) {
            evacuate(worker);
        }
        takeBackWhatIsOver(worker);
    }

    private void saveProgress(RunProgress progress, boolean reachable) {
        TaskEntry task = board.findTask(progress.run().task());
        if (task != null && task.getRun().equals(progress.run())) {
            task.saveCheckpoint(progress.checkpoint());
            task.getProgress().update(progress.percent(), clock.nowMillis());
            long took = task.takeMoveDurationMillis(clock.nowMillis());
            if (took >= 0) {
                moveCost.addSample(took, clock.nowMillis());
            }
            if (reachable) {
                task.getTrial().recordRunning(clock.nowMillis());
            }
        }
    }

    private void handleEnds(WorkerEntry worker, List<RunEnd> ends) {
        long before = worker.getEnds().getLastHandled();
        for (RunEnd end : ends) {
            if (end.number() > worker.getEnds().getLastHandled()) {
                worker.getEnds().markHandled(end.number());
                handleEnd(worker, end);
            }
        }
        if (!ends.isEmpty() || worker.getEnds().getLastHandled() > before) {
            orders.acknowledgeEndsAfterCommit(worker);
        }
    }

    private void handleEnd(WorkerEntry worker, RunEnd end) {
        TaskEntry task = board.findTask(end.run().task());
        LOG.info("ended")
                .with("run", end.run())
                .with("worker", worker.getIncarnation())
                .with("how", end.kind())
                .with("number", end.number())
                .with("known", task != null)
                .write();
        if (task == null) {
            return;
        }
        if (end.kind() == RunEndKind.DONE || end.kind() == RunEndKind.FAILED) {
            workers.recordOutcome(worker, end.kind() == RunEndKind.DONE, clock.nowMillis());
        }
        WorkerIncarnation place = task.getWorker();
        if (!task.recordEnd(worker.getIncarnation(), end)) {
            return;
        }
        if (place != null && task.getWorker() == null) {
            workers.removeTask(task, place);
        } else if (task.isDone() && place != null) {
            // Another run of a task that is done by now has nothing left to do.
            orders.stopAfterCommit(List.of(task));
        }
        releases.markTaskChanged(task);
    }

    private void refused(WorkerEntry worker, StartRefusal refusal) {
        if (refusal.unwell()) {
            worker.getHealth().avoidUntil(clock.nowMillis() + UNWELL_MILLIS);
        }
        releaseRun(worker, refusal.run(), refusal.reason());
    }

    private void releaseRun(WorkerEntry worker, RunId run, String reason) {
        TaskEntry task = board.findTask(run.task());
        boolean current =
                task != null
                        && task.getRun().equals(run)
                        && worker.getIncarnation().equals(task.getWorker());
        if (current) {
            releases.release(task, worker.getIncarnation(), reason);
        }
    }

    /**
     * Stops what can go on elsewhere without loss, while a leaving worker can still save it; the
     * rest may end there in time.
     */
    private void evacuate(WorkerEntry worker) {
        List<TaskEntry> movable =
                worker.listTasks().stream()
                        .filter(
                                task ->
                                        task.getStep().longRunning()
                                                || task.getStep().checkpointing())
                        .filter(TaskEntry::beginMove)
                        .toList();
        if (!movable.isEmpty()) {
            LOG.info("moving")
                    .with("worker", worker.getIncarnation())
                    .with("runs", movable.size())
                    .write();
            orders.stopAfterCommit(movable);
        }
    }

    /**
     * Takes back orders that a worker may not have had yet and that its room does not hold any
     * more; what is at work there may go on.
     */
    private void takeBackWhatIsOver(WorkerEntry worker) {
        Resources room = worker.getDescription().capacity();
        Resources taken = worker.getLoad().getReserved();
        List<TaskEntry> back = new ArrayList<>();
        for (TaskEntry task : worker.listTasks()) {
            boolean over = !taken.fitsIn(room);
            if (over && !task.isListed() && task.beginMove()) {
                taken = taken.minus(task.getStep().requiredCapacity());
                back.add(task);
            }
        }
        if (!back.isEmpty()) {
            LOG.info("orders-withdrawn")
                    .with("worker", worker.getIncarnation())
                    .with("runs", back.size())
                    .write();
            orders.stopAfterCommit(back);
        }
    }
}
