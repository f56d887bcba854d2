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
 * Sends orders to start and stop runs to agents, once the decisions are durable.
 *
 * <p>Orders that an agent did not receive are sent again after it has reconnected.
 *
 * <p>{@code OrderDispatcher} is not thread-safe; it is confined to the leader's event loop.
 */
final class OrderDispatcher {

    private static final EventLog LOG = EventLog.of(OrderDispatcher.class);

    private final Epoch epoch;

    private final JobRegistry jobs;

    private final WorkerRegistry workers;

    private final CommitQueue commits;

    /**
     * An order to start the last run of a task, with the task as it was when the decision was made.
     */
    private record Start(TaskEntry task, StartOrder order) {}

    OrderDispatcher(Epoch epoch, JobRegistry jobs, WorkerRegistry workers, CommitQueue commits) {
        this.epoch = epoch;
        this.jobs = jobs;
        this.workers = workers;
        this.commits = commits;
    }

    /**
     * Sends orders to start runs once all changes so far are durable.
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
                    List<Start> starts = list.stream().map(this::toStart).toList();
                    LeaseGeneration generation = workers.find(id).getSyncedGeneration();
                    commits.afterCommit(() -> send(id, generation, starts, List.of()));
                });
    }

    /**
     * Sends orders to stop runs once all changes so far are durable.
     *
     * @param tasks the tasks; those without a worker are ignored
     */
    void stopAfterCommit(List<TaskEntry> tasks) {
        Map<WorkerIncarnation, List<RunId>> byWorker = new LinkedHashMap<>();
        for (TaskEntry task : tasks) {
            if (task.getWorker() != null) {
                byWorker.computeIfAbsent(task.getWorker(), key -> new ArrayList<>())
                        .add(task.getRun());
            }
        }
        byWorker.forEach(
                (id, runs) ->
                        commits.afterCommit(() -> sendUnderCurrentGeneration(id, List.of(), runs)));
    }

    /**
     * Stops runs that are not expected on a worker.
     *
     * @param id the incarnation of the worker
     * @param runs the runs
     */
    void stopUnexpected(WorkerIncarnation id, List<RunId> runs) {
        if (!runs.isEmpty()) {
            LOG.info("unexpected-runs").with("worker", id).with("runs", runs).write();
            commits.afterCommit(() -> sendUnderCurrentGeneration(id, List.of(), runs));
        }
    }

    /**
     * Acknowledges the recorded ends to a worker's agent once the records are durable, as far as
     * they are not withheld.
     *
     * @param worker the worker
     */
    void acknowledgeEndsAfterCommit(WorkerEntry worker) {
        // Ends that are handled while the append is in flight are not covered by it.
        long number = worker.getEnds().getLastHandled();
        commits.afterCommit(
                () -> {
                    worker.getEnds().markRecorded(number);
                    sendUnderCurrentGeneration(worker.getIncarnation(), List.of(), List.of());
                });
    }

    /**
     * Sends a reconnected agent all orders for a worker.
     *
     * @param worker the worker
     * @param present the expected runs that the worker already has
     */
    void syncAfterCommit(WorkerEntry worker, List<RunId> present) {
        List<Start> starts = new ArrayList<>();
        List<RunId> stops = new ArrayList<>();
        for (TaskEntry task : worker.listTasks()) {
            if (shouldRun(task)) {
                starts.add(toStart(task));
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
        LeaseGeneration generation = worker.getSyncedGeneration();
        commits.afterCommit(() -> send(worker.getIncarnation(), generation, starts, stops));
    }

    /**
     * Checks whether the last run of a task should be running.
     *
     * @param task the task
     * @return false if the task is done or is being moved, or if its job is in a final state
     */
    boolean shouldRun(TaskEntry task) {
        return !task.isDone()
                && !task.isStopping()
                && !jobs.find(task.getName().job()).getState().isFinal();
    }

    // -----------------------------------------------------------------------
    private Start toStart(TaskEntry task) {
        StepDefinition step = task.getStep();
        StartOrder order =
                new StartOrder(
                        task.getRun(),
                        jobs.find(task.getName().job()).getDefinition().specification(),
                        task.getCheckpoint(),
                        step.bestEffort(),
                        step.targetMillis(),
                        step.image());
        return new Start(task, order);
    }

    /**
     * Checks whether an order is still valid. A job that was rejected and submitted again has other
     * tasks under the same names, whose records may not be durable yet.
     */
    private boolean isValid(Start start, WorkerIncarnation id) {
        TaskEntry task = start.task();
        return jobs.findTask(task.getName()) == task
                && task.getRun().equals(start.order().run())
                && id.equals(task.getWorker());
    }

    private void sendUnderCurrentGeneration(
            WorkerIncarnation id, List<Start> starts, List<RunId> stops) {
        WorkerEntry worker = workers.find(id);
        if (worker != null) {
            send(id, worker.getSyncedGeneration(), starts, stops);
        }
    }

    /**
     * Sends orders under the lease generation that was current at the decision, which may have been
     * superseded by the time the decision is durable.
     */
    private void send(
            WorkerIncarnation id,
            LeaseGeneration generation,
            List<Start> starts,
            List<RunId> stops) {
        WorkerEntry worker = workers.find(id);
        if (worker == null || worker.getConnection() == null) {
            return;
        }
        List<StartOrder> validStarts =
                starts.stream().filter(start -> isValid(start, id)).map(Start::order).toList();
        try {
            worker.getConnection()
                    .send(
                            new RunOrders(
                                    epoch,
                                    generation,
                                    id,
                                    validStarts,
                                    stops,
                                    worker.getEnds().getLastAcknowledgeable()));
        } catch (StandlinkException failure) {
            LOG.info("orders-not-sent").with("worker", id).with("cause", failure).write();
        }
    }
}
