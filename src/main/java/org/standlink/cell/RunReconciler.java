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
import org.standlink.job.StepDefinition;
import org.standlink.wire.WorkerReport;

/**
 * Compares the runs that a worker reports with those that should be there: sends all orders to a
 * new agent, and stops unexpected runs.
 *
 * <p>{@code RunReconciler} is not thread-safe; it is confined to the leader's event loop.
 */
final class RunReconciler {

    private final JobRegistry jobs;

    private final AgentRegistry agents;

    private final OrderDispatcher orders;

    RunReconciler(JobRegistry jobs, AgentRegistry agents, OrderDispatcher orders) {
        this.jobs = jobs;
        this.agents = agents;
        this.orders = orders;
    }

    /**
     * Compares the runs of a worker with those that should be there.
     *
     * @param worker the worker
     * @param workerReport the report about the worker
     * @param agent the incarnation of the agent that reports
     */
    void reconcile(WorkerEntry worker, WorkerReport workerReport, Incarnation agent) {
        List<RunId> present = new ArrayList<>();
        List<RunId> unexpected = new ArrayList<>();
        Resources unexpectedUsage = Resources.NONE;
        for (RunProgress progress : workerReport.running()) {
            TaskEntry task = worker.findTask(progress.run().task());
            boolean assigned = task != null && task.getRun().equals(progress.run());
            // A run that is being stopped stays assigned until it has ended, because the order may
            // be lost.
            boolean expected = assigned && orders.shouldRun(task);
            (expected ? present : unexpected).add(progress.run());
            if (!assigned) {
                unexpectedUsage = unexpectedUsage.plus(requiredCapacity(worker, progress.run()));
            }
        }
        worker.getLoad().setUnexpectedUsage(unexpectedUsage);
        orders.stopUnexpected(worker.getIncarnation(), unexpected);
        LeaseGeneration generation = agents.getGeneration(agent);
        if (!generation.equals(worker.getSyncedGeneration())) {
            worker.setSyncedGeneration(generation);
            orders.syncAfterCommit(worker, present);
        }
    }

    /**
     * Gets the capacity that an unexpected run may use: all of the worker's if its job is not known
     * any more.
     */
    private Resources requiredCapacity(WorkerEntry worker, RunId run) {
        StepDefinition step = jobs.findStep(run.task());
        return step == null ? worker.getDescription().capacity() : step.requiredCapacity();
    }
}
