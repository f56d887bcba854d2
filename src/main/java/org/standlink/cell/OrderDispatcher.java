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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Epoch;
import org.standlink.LeaseGeneration;
import org.standlink.StandlinkException;
import org.standlink.job.RunId;
import org.standlink.job.StepDefinition;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.EventLog;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;

/**
 * Tells agents which runs to start and to stop, once the decision has been kept.
 *
 * <p>What an agent did not hear it is told again when it has connected anew.
 *
 * <p>{@code OrderDispatcher} is not thread-safe; the leader's loop owns it.
 */
final class OrderDispatcher {

    /** The log. */
    private static final EventLog LOG = EventLog.of(OrderDispatcher.class);

    /** The epoch. */
    private final Epoch epoch;

    /** The jobs. */
    private final JobRegistry board;

    /** The workers. */
    private final WorkerRegistry workers;

    /** Keeps decisions. */
    private final CommitQueue commits;

    /** An order to start the last run of a task, as it was decided. */
    private record Start(TaskEntry task, StartOrder order) {}

    /**
     * Constructor.
     *
     * @param epoch the epoch
     * @param board the jobs
     * @param workers the workers
     * @param commits keeps decisions
     */
    OrderDispatcher(Epoch epoch, JobRegistry board, WorkerRegistry workers, CommitQueue commits) {
        this.epoch = epoch;
        this.board = board;
        this.workers = workers;
        this.commits = commits;
    }

    /**
     * Has runs started once all changes so far have been kept.
     *
     * @param tasks the tasks whose last run is to be started
     */
    void startAfterCommit(List<TaskEntry> tasks) {
        Map<WorkerIncarnation, List<TaskEntry>> byWorker = new LinkedHashMap<>();
        for (TaskEntry task : tasks) {
            byWorker.computeIfAbsent(task.getWorker(), key -> new ArrayList<>()).add(task);
        }
        byWorker.forEach(
                (id, list) -> {
                    List<Start> starts = list.stream().map(this::start).toList();
                    LeaseGeneration given = workers.find(id).getSyncedGeneration();
                    commits.afterCommit(() -> send(id, given, starts, List.of()));
                });
    }

    /**
     * Has runs stopped once all changes so far have been kept.
     *
     * @param tasks the tasks; those that run nowhere are passed over
     */
    void stopAfterCommit(List<TaskEntry> tasks) {
        Map<WorkerIncarnation, List<RunId>> byWorker = new LinkedHashMap<>();
        for (TaskEntry task : tasks) {
            if (task.getWorker() != null) {
                byWorker.computeIfAbsent(task.getWorker(), key -> new ArrayList<>())
                        .add(task.getRun());
            }
        }
        byWorker.forEach((id, runs) -> commits.afterCommit(() -> sendNow(id, List.of(), runs)));
    }

    /**
     * Stops runs that should not be there.
     *
     * @param id the worker
     * @param runs the runs
     */
    void stopUnexpected(WorkerIncarnation id, List<RunId> runs) {
        if (!runs.isEmpty()) {
            LOG.info("unexpected-runs").with("worker", id).with("runs", runs).write();
            commits.afterCommit(() -> sendNow(id, List.of(), runs));
        }
    }

    /**
     * Tells a worker's agent which ends have been recorded, once they have.
     *
     * @param worker the worker
     */
    void acknowledgeEndsAfterCommit(WorkerEntry worker) {
        // Ends that are handled while the append is under way are not part of it.
        long number = worker.getEnds().getLastHandled();
        commits.afterCommit(
                () -> {
                    worker.getEnds().markRecorded(number);
                    sendNow(worker.getIncarnation(), List.of(), List.of());
                });
    }

    /**
     * Tells an agent that has connected anew all that should run on a worker.
     *
     * @param worker the worker
     * @param present the runs that are there already
     */
    void syncAfterCommit(WorkerEntry worker, List<RunId> present) {
        List<Start> starts = new ArrayList<>();
        List<RunId> stops = new ArrayList<>();
        for (TaskEntry task : worker.listTasks()) {
            if (shouldRun(task)) {
                starts.add(start(task));
            } else {
                stops.add(task.getRun());
            }
        }
        LOG.info("agent-synced")
                .with("worker", worker.getIncarnation())
                .with("present", present.size())
                .with("starts", starts.size())
                .with("stops", stops.size())
                .write();
        LeaseGeneration given = worker.getSyncedGeneration();
        commits.afterCommit(() -> send(worker.getIncarnation(), given, starts, stops));
    }

    /**
     * Checks whether a task should run.
     *
     * @param task the task
     * @return false if it is done or to go on elsewhere, or if its job is final
     */
    boolean shouldRun(TaskEntry task) {
        return !task.isDone()
                && !task.isStopping()
                && !board.find(task.getName().job()).getState().isFinal();
    }

    // -----------------------------------------------------------------------
    private Start start(TaskEntry task) {
        StepDefinition step = task.getStep();
        StartOrder order =
                new StartOrder(
                        task.getRun(),
                        board.find(task.getName().job()).getDefinition().specification(),
                        task.getCheckpoint(),
                        step.bestEffort(),
                        step.targetMillis(),
                        step.image());
        return new Start(task, order);
    }

    /**
     * Checks whether an order still holds. A job that was refused and handed in again has other
     * tasks under the same names, whose record may not have been kept yet.
     */
    private boolean isInForce(Start start, WorkerIncarnation id) {
        TaskEntry task = start.task();
        return board.findTask(task.getName()) == task
                && task.getRun().equals(start.order().run())
                && id.equals(task.getWorker());
    }

    private void sendNow(WorkerIncarnation id, List<Start> starts, List<RunId> stops) {
        WorkerEntry worker = workers.find(id);
        if (worker != null) {
            send(id, worker.getSyncedGeneration(), starts, stops);
        }
    }

    /**
     * An order names the lease under which it was given, though it leaves once it has been kept.
     */
    private void send(
            WorkerIncarnation id, LeaseGeneration given, List<Start> starts, List<RunId> stops) {
        WorkerEntry worker = workers.find(id);
        if (worker == null || worker.getConnection() == null) {
            return;
        }
        List<StartOrder> present =
                starts.stream().filter(start -> isInForce(start, id)).map(Start::order).toList();
        try {
            worker.getConnection()
                    .send(
                            new RunOrders(
                                    epoch,
                                    given,
                                    id,
                                    present,
                                    stops,
                                    worker.getEnds().getLastRecorded()));
        } catch (StandlinkException lost) {
            LOG.info("orders-not-sent").with("worker", id).with("cause", lost).write();
        }
    }
}
