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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * Resolves the runs of a worker that has restarted under its id.
 *
 * <p>Calls to a worker carry only its id, so a call that was meant for the previous incarnation may
 * be executed late by the current one: a start that was abandoned too early would begin beside the
 * run that replaces it, and a lease renewal would make the worker discard ends that nobody has
 * received. Therefore the generation of the agent's lease is raised first, and the runs stay
 * assigned until the current incarnation has listed its runs under that generation. From then on it
 * refuses calls of earlier generations. Runs that it lists continue there; the others ended with
 * the previous incarnation.
 *
 * <p>An incarnation that has ended before another one is known keeps the runs that a late call may
 * still start; its other runs are released. When another one returns under its id, the generation
 * is raised before the first report of that one is evaluated.
 *
 * <p>{@code WorkerRestartHandler} is not thread-safe; it is confined to the leader's event loop.
 */
final class WorkerRestartHandler {

    private static final EventLog LOG = EventLog.of(WorkerRestartHandler.class);

    private final WorkerRegistry workers;

    private final AgentRegistry agents;

    private final CrashDetector crashDetector;

    private final RunReleaser releaser;

    private final MonotonicClock clock;

    /** The workers of which an incarnation has ended and none has been reported since. */
    private final Map<WorkerId, Departure> departures = new HashMap<>();

    /** The lease generation of the agent when an incarnation ended, and when that was. */
    private record Departure(LeaseGeneration generation, long at) {}

    WorkerRestartHandler(
            WorkerRegistry workers,
            AgentRegistry agents,
            CrashDetector crashDetector,
            RunReleaser releaser,
            MonotonicClock clock) {
        this.workers = workers;
        this.agents = agents;
        this.crashDetector = crashDetector;
        this.releaser = releaser;
        this.clock = clock;
    }

    /**
     * Marks incarnations as ended if another incarnation of the same worker has answered.
     *
     * @param report a report that carries the current lease generation of its sender
     * @return true if the generation of the sender's lease was raised, so that the report must be
     *     ignored
     */
    boolean detectRestarts(AgentReport report) {
        boolean raised = false;
        for (WorkerReport workerReport : report.workers()) {
            raised |= detectReturn(workerReport.worker().incarnation(), report.incarnation());
            for (WorkerEntry former :
                    workers.findOtherIncarnations(workerReport.worker().incarnation())) {
                boolean ended =
                        former.isEnded()
                                || report.dead().contains(former.getIncarnation())
                                || isReplaced(former, workerReport, report.incarnation());
                raised |=
                        ended
                                && endIncarnation(
                                        former,
                                        workerReport.worker().incarnation(),
                                        report.incarnation());
            }
        }
        return raised;
    }

    /**
     * Checks whether the runs of a worker's previous incarnations are still to be resolved. If the
     * report allows it, resolves them: they continue where they are listed, and are released
     * otherwise.
     *
     * @param current the current incarnation
     * @param workerReport the report about the current incarnation
     * @return true if the runs are still unresolved, so that the report must be ignored
     */
    boolean isResolutionPending(WorkerEntry current, WorkerReport workerReport) {
        List<WorkerEntry> endedIncarnations =
                workers.findOtherIncarnations(current.getIncarnation()).stream()
                        .filter(WorkerEntry::isEnded)
                        .toList();
        boolean pending =
                !endedIncarnations.isEmpty()
                        && !(workerReport.listsComplete() && workerReport.reachable());
        if (!pending) {
            endedIncarnations.forEach(former -> resolveRuns(former, current, workerReport));
        }
        return pending;
    }

    /**
     * Records that an incarnation has ended and that its runs have been released.
     *
     * @param ended the incarnation
     * @param agent the incarnation of the agent that reported it
     */
    void recordDeparture(WorkerIncarnation ended, Incarnation agent) {
        long now = clock.nowMillis();
        departures.values().removeIf(departure -> !mayHaveLateCalls(departure, now));
        if (ended.hasStartTime()) {
            departures.put(ended.getId(), new Departure(agents.getGeneration(agent), now));
        }
    }

    /**
     * Handles the end of an incarnation if the next one under the same id may still start runs:
     * these stay assigned until that one has listed its own.
     *
     * @param worker the incarnation that has ended
     * @param report the report that names it
     * @return false if there are no such runs, so that nothing was done
     */
    boolean retainInDoubtRuns(WorkerEntry worker, AgentReport report) {
        List<TaskEntry> tasks = List.copyOf(worker.listTasks());
        if (tasks.stream().noneMatch(task -> isInDoubt(task, worker))) {
            return false;
        }
        crashDetector.recordCrash(worker).forEach(releaser::markTaskChanged);
        agents.raiseGeneration(report.incarnation(), "worker-ended");
        worker.markEnded(agents.getGeneration(report.incarnation()));
        for (TaskEntry task : tasks) {
            if (isInDoubt(task, worker)) {
                LOG.info("retained-in-doubt")
                        .with("run", task.getRun())
                        .with("worker", worker.getIncarnation())
                        .with("reason", "worker-ended")
                        .write();
            } else {
                releaser.release(task, worker.getIncarnation(), "worker-ended");
            }
        }
        return true;
    }

    /**
     * Releases the runs of an ended incarnation that are not in doubt any more, if its own agent
     * process reports it. Once a later incarnation is known, that one has to list its runs first.
     *
     * @param worker the ended incarnation
     * @param report a report that names it
     */
    void releaseResolvedRuns(WorkerEntry worker, AgentReport report) {
        boolean knowsAllCalls = report.incarnation().equals(worker.getAgent());
        if (!knowsAllCalls || !workers.findOtherIncarnations(worker.getIncarnation()).isEmpty()) {
            return;
        }
        for (TaskEntry task : List.copyOf(worker.listTasks())) {
            if (!isInDoubt(task, worker)) {
                releaser.release(task, worker.getIncarnation(), "worker-ended");
            }
        }
        if (worker.listTasks().isEmpty()) {
            workers.remove(worker);
        }
    }

    private boolean isInDoubt(TaskEntry task, WorkerEntry worker) {
        return InDoubtPolicy.REPORTED.isInDoubt(task, worker, workers.getInDoubtRuns());
    }

    // -----------------------------------------------------------------------
    /**
     * Detects the first report of a worker that has returned under its id. If it was called under
     * the generation under which its former incarnation was, raises the generation, so that it
     * refuses late calls that were meant for that one.
     */
    private boolean detectReturn(WorkerIncarnation current, Incarnation agent) {
        Departure departure =
                workers.find(current) == null ? departures.remove(current.getId()) : null;
        boolean raise =
                departure != null
                        && mayHaveLateCalls(departure, clock.nowMillis())
                        && !agents.getGeneration(agent).isAfter(departure.generation());
        if (raise) {
            agents.raiseGeneration(agent, "worker-returned");
        }
        return raise;
    }

    private static boolean mayHaveLateCalls(Departure departure, long now) {
        return now - departure.at() <= CellTimes.MAX_CALL_DELAY_MILLIS;
    }

    /**
     * Checks whether an incarnation has been replaced by another one. If the worker has moved,
     * different agents may report the two; then the one that does not respond any more, or that
     * started earlier, has ended.
     */
    private boolean isReplaced(WorkerEntry former, WorkerReport workerReport, Incarnation agent) {
        boolean unresponsive =
                !former.isReachable()
                        || clock.nowMillis() - former.getLastReportMillis()
                                >= WorkerRegistry.REPORT_TIMEOUT_MILLIS;
        return workerReport.reachable()
                && (unresponsive
                        || agent.equals(former.getAgent())
                        || workerReport
                                .worker()
                                .incarnation()
                                .isStartedAfter(former.getIncarnation()));
    }

    /** Ends an incarnation; returns false if its orders are already refused by the current one. */
    private boolean endIncarnation(
            WorkerEntry former, WorkerIncarnation current, Incarnation agent) {
        LeaseGeneration generation = agents.getGeneration(agent);
        if (former.isEnded() && !former.getFenceGeneration().isAfter(generation)) {
            return false;
        }
        if (!former.isEnded() && former.getIncarnation().hasStartTime()) {
            crashDetector.recordCrash(former).forEach(releaser::markTaskChanged);
        }
        agents.raiseGeneration(agent, "worker-started-again");
        former.markEnded(agents.getGeneration(agent));
        LOG.info("worker-started-again")
                .with("former", former.getIncarnation())
                .with("present", current)
                .with("runs", former.listTasks().size())
                .with("generation", former.getFenceGeneration())
                .write();
        return true;
    }

    private void resolveRuns(WorkerEntry former, WorkerEntry current, WorkerReport workerReport) {
        for (TaskEntry task : List.copyOf(former.listTasks())) {
            if (isListed(workerReport, task.getRun())) {
                LOG.info("taken-over")
                        .with("run", task.getRun())
                        .with("worker", current.getIncarnation())
                        .write();
                former.removeTask(task);
                task.setWorker(current.getIncarnation());
                current.addTask(task);
                releaser.markTaskChanged(task);
            } else {
                release(task, former, current, workerReport);
            }
        }
        workers.remove(former);
    }

    /**
     * Releases a run that the present incarnation does not list. That one refuses all earlier calls
     * and may run the task next, unless it has already started an earlier run of it.
     */
    private void release(
            TaskEntry task, WorkerEntry former, WorkerEntry current, WorkerReport workerReport) {
        WorkerIncarnation incarnation = former.getIncarnation();
        boolean startedEarlier =
                workerReport.running().stream()
                        .anyMatch(progress -> progress.run().task().equals(task.getName()));
        if (startedEarlier) {
            releaser.release(task, incarnation, "worker-started-again");
        } else {
            releaser.releaseTo(task, incarnation, current.getIncarnation(), "worker-started-again");
        }
    }

    private static boolean isListed(WorkerReport workerReport, RunId run) {
        return workerReport.running().stream().anyMatch(progress -> progress.run().equals(run))
                || workerReport.ended().stream().anyMatch(end -> end.run().equals(run));
    }
}
