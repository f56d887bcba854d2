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
import org.standlink.job.WorkerLife;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.StartRefusal;
import org.standlink.wire.WorkerReport;

/**
 * Handles what agents report of their workers.
 *
 * <p>{@code ReportDesk} is not thread-safe; the leader's loop owns it.
 */
final class ReportDesk {

    /** For how long a worker that says it is unwell gets nothing new, in milliseconds. */
    private static final long UNWELL_MILLIS = 1500;

    /**
     * How long a run may stand still, in milliseconds: a run of 6 s, on a worker slowed sixfold and
     * crowded twofold, shows a further percent within half of it.
     */
    private static final long STALL_MILLIS = 1500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(ReportDesk.class);

    /** The jobs. */
    private final JobBoard board;

    /** The workers. */
    private final WorkerBoard workers;

    /** The agents. */
    private final AgentBoard agents;

    /** Tells agents what to do. */
    private final OrderDesk orders;

    /** The clock. */
    private final MonotonicClock clock;

    /** Learns what moves cost. */
    private final MoveCost moveCost;

    /** Learns from figures. */
    private final FigureDesk figures;

    /** Finds tasks that crash their workers. */
    private final CrashDesk crashes;

    /** Takes runs off their workers. */
    private final ReleaseDesk releases;

    /** Decides what becomes of the runs of workers that have started again. */
    private final SuccessionDesk succession;

    /** Compares what runs with what should. */
    private final RunComparison comparison;

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
    ReportDesk(
            JobBoard board,
            WorkerBoard workers,
            AgentBoard agents,
            OrderDesk orders,
            ToIntFunction<JobEntry> mostAttempts,
            MonotonicClock clock,
            FigureDesk figures,
            MoveCost moveCost) {
        this.board = board;
        this.workers = workers;
        this.agents = agents;
        this.orders = orders;
        this.clock = clock;
        this.figures = figures;
        this.moveCost = moveCost;
        this.crashes = new CrashDesk(clock);
        this.releases = new ReleaseDesk(board, workers, mostAttempts);
        this.succession = new SuccessionDesk(workers, agents, crashes, releases, clock);
        this.comparison = new RunComparison(board, agents, orders);
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
        if (!agents.isCurrent(report) || succession.begin(report)) {
            return false;
        }
        for (WorkerReport part : report.workers()) {
            WorkerEntry worker = workers.get(part.worker().life(), leaseUntil);
            if (worker.isOver()) {
                continue;
            }
            worker.prolong(leaseUntil);
            if (agents.isElsewhere(report.incarnation(), part, clock.nowMillis())) {
                continue;
            }
            boolean first = worker.getDescription() == null;
            worker.heard(part.worker(), connection, part.reachable(), clock.nowMillis());
            worker.setAgent(report.incarnation());
            if (first) {
                workers.keepAddress(worker);
                workers.replacedBy(worker).forEach(this::replaced);
            }
            if (part.reachable()) {
                crashes.answers(worker).forEach(releases::touch);
            }
            if (!succession.isOpen(worker, part)) {
                handleWorker(worker, part, report);
            }
        }
        for (WorkerLife dead : report.dead()) {
            WorkerEntry worker = workers.find(dead);
            if (worker != null && worker.isOver()) {
                // Its runs stay placed until the life that follows has listed its own.
                continue;
            }
            if (worker != null) {
                replaced(worker);
            } else {
                crashes.over(dead).forEach(releases::touch);
            }
        }
        return true;
    }

    private void replaced(WorkerEntry worker) {
        crashes.crashed(worker).forEach(releases::touch);
        releases.releaseAll(worker, "worker-replaced");
        workers.remove(worker);
    }

    /**
     * Takes the jobs that have changed since this was called last.
     *
     * @return the jobs
     */
    Set<JobEntry> takeTouched() {
        return releases.takeTouched();
    }

    /**
     * Gives up all runs of a worker, since its lease is over; orders for them are void from now on.
     *
     * @param worker the worker
     * @param reason why, for the log
     */
    void giveUp(WorkerEntry worker, String reason) {
        if (!worker.listTasks().isEmpty()) {
            if (!worker.isOver()) {
                crashes.silent(worker);
            }
            agents.raiseGeneration(worker.getAgent(), reason);
            releases.releaseAll(worker, reason);
        }
    }

    /** Stops runs that stand still, so that they go on elsewhere. */
    void stopStalled() {
        long now = clock.nowMillis();
        crashes.forgetOld();
        for (WorkerEntry worker : workers.getWorkers()) {
            if (!worker.isReachable()) {
                // Its figures are old; its lease decides what becomes of its runs.
                continue;
            }
            List<TaskEntry> stalled =
                    worker.listTasks().stream()
                            .filter(task -> !isHeldBack(task, worker, now))
                            .filter(task -> task.isStalled(worker.getHeardAt(), STALL_MILLIS))
                            .toList();
            for (TaskEntry task : stalled) {
                LOG.info("stalled")
                        .with("run", task.getRun())
                        .with("worker", worker.getLife())
                        .write();
                workers.judge(worker, false, now);
            }
            orders.stopAfterCommit(stalled);
        }
    }

    /** A run that is throttled stands still on purpose. */
    private static boolean isHeldBack(TaskEntry task, WorkerEntry worker, long now) {
        return worker.getFigures().isHeldBack(task.getStep().image(), now, 0);
    }

    // -----------------------------------------------------------------------
    private void handleWorker(WorkerEntry worker, WorkerReport part, AgentReport report) {
        if (part.lapsed()) {
            giveUp(worker, "lease-lapsed");
        }
        part.running().forEach(progress -> saveProgress(progress, part.reachable()));
        worker.getFigures().throttled(part.throttled(), clock.nowMillis());
        figures.learn(worker, part.running());
        handleEnds(worker, part.ended());
        for (StartRefusal refusal : part.refused()) {
            refused(worker, refusal);
        }
        for (RunId run : part.gone()) {
            releaseRun(worker, run, "stopped-before-start");
        }
        if (part.known()) {
            comparison.compare(worker, part, report.incarnation());
        }
        if (part.worker().draining()) {
            evacuate(worker);
        }
        takeBackWhatIsOver(worker);
    }

    private void saveProgress(RunProgress progress, boolean reachable) {
        TaskEntry task = board.findTask(progress.run().task());
        if (task != null && task.getRun().equals(progress.run())) {
            task.save(progress.checkpoint());
            task.getProgress().progress(progress.percent(), clock.nowMillis());
            long took = task.takeMoveMillis(clock.nowMillis());
            if (took >= 0) {
                moveCost.learn(took, clock.nowMillis());
            }
            if (reachable) {
                task.getTrial().seenAtWork(clock.nowMillis());
            }
        }
    }

    private void handleEnds(WorkerEntry worker, List<RunEnd> ends) {
        long before = worker.getEnds().getHandled();
        for (RunEnd end : ends) {
            if (end.number() > worker.getEnds().getHandled()) {
                worker.getEnds().handle(end.number());
                handleEnd(worker, end);
            }
        }
        if (!ends.isEmpty() || worker.getEnds().getHandled() > before) {
            orders.recordedAfterCommit(worker);
        }
    }

    private void handleEnd(WorkerEntry worker, RunEnd end) {
        TaskEntry task = board.findTask(end.run().task());
        LOG.info("ended")
                .with("run", end.run())
                .with("worker", worker.getLife())
                .with("how", end.kind())
                .with("number", end.number())
                .with("known", task != null)
                .write();
        if (task == null) {
            return;
        }
        if (end.kind() == RunEndKind.DONE || end.kind() == RunEndKind.FAILED) {
            workers.judge(worker, end.kind() == RunEndKind.DONE, clock.nowMillis());
        }
        WorkerLife place = task.getWorker();
        if (!task.end(worker.getLife(), end)) {
            return;
        }
        if (place != null && task.getWorker() == null) {
            workers.vacate(task, place);
        } else if (task.isDone() && place != null) {
            // Another run of a task that is done by now has nothing left to do.
            orders.stopAfterCommit(List.of(task));
        }
        releases.touch(task);
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
                        && worker.getLife().equals(task.getWorker());
        if (current) {
            releases.release(task, worker.getLife(), reason);
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
                    .with("worker", worker.getLife())
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
        Resources taken = worker.getLoad().getTaken();
        List<TaskEntry> back = new ArrayList<>();
        for (TaskEntry task : worker.listTasks()) {
            boolean over = !taken.fitsIn(room);
            if (over && !task.isListed() && task.beginMove()) {
                taken = taken.minus(task.getStep().room());
                back.add(task);
            }
        }
        if (!back.isEmpty()) {
            LOG.info("taken-back")
                    .with("worker", worker.getLife())
                    .with("runs", back.size())
                    .write();
            orders.stopAfterCommit(back);
        }
    }
}
