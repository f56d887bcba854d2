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
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.wire.WorkerReport;

/**
 * Compares what a worker runs with what it should run: tells a new agent all, and stops what should
 * not be there.
 *
 * <p>{@code RunReconciler} is not thread-safe; the leader's loop owns it.
 */
final class RunReconciler {

    /** The jobs. */
    private final JobRegistry board;

    /** The agents. */
    private final AgentRegistry agents;

    /** Tells agents what to do. */
    private final OrderDispatcher orders;

    /**
     * Constructor.
     *
     * @param board the jobs
     * @param agents the agents
     * @param orders tells agents what to do
     */
    RunReconciler(JobRegistry board, AgentRegistry agents, OrderDispatcher orders) {
        this.board = board;
        this.agents = agents;
        this.orders = orders;
    }

    /**
     * Compares what a worker runs with what it should run.
     *
     * @param worker the worker
     * @param part what is reported of it
     * @param agent the run of the agent that reports
     */
    void reconcile(WorkerEntry worker, WorkerReport part, Incarnation agent) {
        List<RunId> present = new ArrayList<>();
        List<RunId> stray = new ArrayList<>();
        Resources strayRoom = Resources.NONE;
        for (RunProgress progress : part.running()) {
            TaskEntry task = worker.findTask(progress.run().task());
            boolean placed = task != null && task.getRun().equals(progress.run());
            // A run that is to end stays placed here until it has; an order to stop it may be lost.
            boolean expected = placed && orders.shouldRun(task);
            (expected ? present : stray).add(progress.run());
            if (!placed) {
                strayRoom = strayRoom.plus(roomOf(worker, progress.run()));
            }
        }
        worker.getLoad().setUnexpectedUsage(strayRoom);
        orders.stopUnexpected(worker.getIncarnation(), stray);
        LeaseGeneration generation = agents.getGeneration(agent);
        if (!generation.equals(worker.getSyncedGeneration())) {
            worker.setSyncedGeneration(generation);
            orders.syncAfterCommit(worker, present);
        }
    }

    /** The room of a run whose job is not known any more may be all that there is. */
    private Resources roomOf(WorkerEntry worker, RunId run) {
        TaskEntry task = board.findTask(run.task());
        return task == null
                ? worker.getDescription().capacity()
                : task.getStep().requiredCapacity();
    }
}
