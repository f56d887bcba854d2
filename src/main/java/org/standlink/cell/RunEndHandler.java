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

import java.util.List;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;

/**
 * Handles the ends of runs that workers list.
 *
 * <p>{@code RunEndHandler} is not thread-safe; it is confined to the leader's event loop.
 */
final class RunEndHandler {

    private static final EventLog LOG = EventLog.of(AgentReportHandler.class);

    private final JobRegistry jobs;

    private final WorkerRegistry workers;

    private final OrderDispatcher orders;

    private final RunReleaser releaser;

    private final InDoubtRuns inDoubtRuns;

    private final MonotonicClock clock;

    RunEndHandler(
            JobRegistry jobs,
            WorkerRegistry workers,
            OrderDispatcher orders,
            RunReleaser releaser,
            MonotonicClock clock) {
        this.jobs = jobs;
        this.workers = workers;
        this.orders = orders;
        this.releaser = releaser;
        this.inDoubtRuns = workers.getInDoubtRuns();
        this.clock = clock;
    }

    /**
     * Handles the ends that a worker lists, and acknowledges them once their records are durable.
     * Those that are withheld are listed again. All are while a later incarnation of the worker may
     * carry out a start call that the reporting agent process does not know: it would discard the
     * end of that run because of the acknowledgement, if that is carried out late as well.
     *
     * @param worker the worker
     * @param ends the ends that have not been acknowledged
     * @param report the report that names the ends
     */
    void handle(WorkerEntry worker, List<RunEnd> ends, AgentReport report) {
        long lastHandled = worker.getEnds().getLastHandled();
        worker.getEnds().releaseResolved(inDoubtRuns::containsTask);
        WorkerId id = worker.getIncarnation().getId();
        worker.getEnds()
                .setSuspended(
                        worker.getIncarnation().hasStartTime()
                                && inDoubtRuns.containsCallsOfEarlierProcess(id, report));
        for (RunEnd end : ends) {
            if (end.number() > worker.getEnds().getLastHandled()) {
                worker.getEnds().markHandled(end.number());
                withholdIfInDoubt(worker, end);
                handleEnd(worker, end);
            }
        }
        if (!ends.isEmpty() || worker.getEnds().getLastHandled() > lastHandled) {
            orders.acknowledgeEndsAfterCommit(worker);
        }
    }

    /** Withholds an end that forbids further runs of its task while one may still start late. */
    private void withholdIfInDoubt(WorkerEntry worker, RunEnd end) {
        if (isOutcome(end) && inDoubtRuns.containsTask(end.run().task())) {
            worker.getEnds().withhold(end.number(), end.run().task());
            LOG.info("end-withheld")
                    .with("run", end.run())
                    .with("worker", worker.getIncarnation())
                    .with("number", end.number())
                    .write();
        }
    }

    private static boolean isOutcome(RunEnd end) {
        return end.kind() == RunEndKind.DONE || end.kind() == RunEndKind.FAILED;
    }

    private void recordOutcome(WorkerEntry worker, RunEnd end, long ranMillis, long now) {
        if (end.kind() == RunEndKind.DONE) {
            workers.getOutcomes().recordSuccess(worker, end.run().task());
        } else if (end.kind() == RunEndKind.FAILED) {
            workers.getOutcomes().recordFailure(worker, end.run().task(), ranMillis, now);
        }
    }

    private void handleEnd(WorkerEntry worker, RunEnd end) {
        TaskEntry task = jobs.findTask(end.run().task());
        LOG.info("ended")
                .with("run", end.run())
                .with("worker", worker.getIncarnation())
                .with("how", end.kind())
                .with("number", end.number())
                .with("known", jobs.findStep(end.run().task()) != null)
                .write();
        if (jobs.findStep(end.run().task()) == null) {
            return;
        }
        long now = clock.nowMillis();
        boolean current = task != null && task.getRun().equals(end.run());
        long ranMillis = current ? task.getProgress().getListedMillis(now) : 0;
        recordOutcome(worker, end, ranMillis, now);
        if (task == null) {
            // The repetition of the task is finished and released.
            return;
        }
        WorkerIncarnation formerWorker = task.getWorker();
        if (!task.recordEnd(worker.getIncarnation(), end)) {
            return;
        }
        if (current && task.getStep().longRunning() && isOutcome(end)) {
            task.getProgress().getBackoff().recordEnd(ranMillis, now);
        }
        if (formerWorker != null && task.getWorker() == null) {
            workers.removeTask(task, formerWorker);
        } else if (task.isDone() && formerWorker != null) {
            // Another run of the task has completed it, so this one is not needed.
            orders.stopAfterCommit(List.of(task));
        }
        releaser.markTaskChanged(task);
    }
}
