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
package org.standlink.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.standlink.CellId;
import org.standlink.Resources;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.CellSpecification;
import org.standlink.bundle.JobSpecification;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.bundle.TeamSpecification;
import org.standlink.bundle.Urgency;
import org.standlink.bundle.WorkerSpecification;
import org.standlink.log.CellState;
import org.standlink.log.TaskState;
import org.standlink.policy.QuotaUsage;
import org.standlink.policy.RunningTask;
import org.standlink.policy.ServiceLoad;
import org.standlink.policy.WorkerView;
import org.standlink.wire.TaskReport;

/**
 * Creates the policies' views of the state of a cell.
 *
 * <p>{@code CellViews} is immutable, and thread-safe as long as its orders do not change.
 */
final class CellViews {

    private final CellId cell;
    private final Bundle bundle;
    private final TaskOrders orders;

    /**
     * Creates the views of a cell.
     *
     * @param cell the cell
     * @param bundle the bundle in force
     * @param orders the throttles and stops in force
     */
    CellViews(CellId cell, Bundle bundle, TaskOrders orders) {
        this.cell = cell;
        this.bundle = bundle;
        this.orders = orders;
    }

    /**
     * Computes the quota usage of the teams.
     *
     * @param running the tasks that hold capacity
     * @return the quotas with their usage
     */
    QuotaUsage computeQuotaUsage(List<RunningTask> running) {
        Map<TeamId, Resources> quotas = new HashMap<>();
        for (TeamSpecification team : bundle.teams()) {
            quotas.put(team.id(), team.quota());
        }
        QuotaUsage usage = new QuotaUsage(quotas);
        running.forEach(task -> usage.add(task.team(), task.granted()));
        return usage;
    }

    /**
     * Creates the views of the workers.
     *
     * @param agents the leader's state of the agents
     * @param running the tasks that hold capacity
     * @param loads the load of the services on each VM, as last reported
     * @param isHealthy whether the health policy permits new tasks on a worker
     * @return the views
     */
    List<WorkerView> createWorkerViews(
            Map<VmId, AgentEntry> agents,
            List<RunningTask> running,
            Map<VmId, List<ServiceLoad>> loads,
            Predicate<VmId> isHealthy) {
        List<WorkerView> views = new ArrayList<>();
        Map<VmId, WorkerView> byVm = new HashMap<>();
        CellSpecification specification = bundle.findCell(cell).orElseThrow();
        for (WorkerSpecification worker : specification.workers()) {
            AgentEntry agent = agents.get(worker.vm());
            boolean usable = isReady(agent) && isHealthy.test(worker.vm());
            WorkerView view = createWorkerView(worker, loads, usable);
            views.add(view);
            byVm.put(worker.vm(), view);
        }
        for (RunningTask task : running) {
            WorkerView view = byVm.get(task.worker());
            if (view != null && task.queued()) {
                view.addQueued();
            } else if (view != null) {
                view.addTask(task.batchClass(), task.granted());
            }
        }
        return views;
    }

    private static boolean isReady(AgentEntry agent) {
        return agent != null
                && agent.hasReported()
                && !agent.isLost()
                && agent.getLastHeartbeat().workerReady()
                && !agent.getLastHeartbeat().leaving();
    }

    private WorkerView createWorkerView(
            WorkerSpecification worker, Map<VmId, List<ServiceLoad>> loads, boolean usable) {
        Resources reserved = Resources.NONE;
        List<ServiceLoad> serviceLoads = new ArrayList<>();
        for (ServiceSpecification service : bundle.services()) {
            if (service.upstreams().contains(worker.vm())) {
                reserved = reserved.plus(service.reserved());
                serviceLoads.add(loadOf(loads.get(worker.vm()), service));
            }
        }
        return new WorkerView(
                worker.vm(),
                worker.hall(),
                worker.rack(),
                worker.capacity(),
                reserved,
                serviceLoads,
                usable);
    }

    private static ServiceLoad loadOf(List<ServiceLoad> reported, ServiceSpecification service) {
        List<ServiceLoad> loads = reported == null ? List.of() : reported;
        return loads.stream()
                .filter(load -> load.service().equals(service.id()))
                .findFirst()
                .orElse(new ServiceLoad(service.id(), 0));
    }

    /**
     * Lists the tasks that hold capacity.
     *
     * @param state the folded state of the cell
     * @param agents the leader's state of the agents
     * @return the tasks
     */
    List<RunningTask> listAssignedTasks(CellState state, Map<VmId, AgentEntry> agents) {
        List<RunningTask> result = new ArrayList<>();
        for (TaskState task : state.getTasks()) {
            if (!task.isAssigned()) {
                continue;
            }
            AgentEntry agent = agents.get(task.worker());
            TaskReport report = agent == null ? null : agent.getReport(task.task());
            result.add(createRunningTask(task, report));
        }
        return result;
    }

    private RunningTask createRunningTask(TaskState task, TaskReport report) {
        Optional<JobSpecification> job = bundle.findJob(task.task().getJob());
        boolean queued =
                report != null
                        && report.attempt().equals(task.attempt())
                        && report.state() == TaskReport.State.QUEUED;
        return new RunningTask(
                task.task(),
                job.map(JobSpecification::team).orElse(null),
                job.map(JobSpecification::batchClass).orElse(""),
                task.worker(),
                task.resources(),
                job.filter(j -> j.urgency() == Urgency.URGENT).isPresent(),
                job.map(JobSpecification::checkpointable).orElse(false),
                orders.getThrottle(task.task()),
                queued,
                orders.isStopOrdered(task) || job.isEmpty());
    }

    /**
     * Lists the tasks that an agent reports.
     *
     * @param vm the VM of the agent
     * @param reported the last report of each of its tasks
     * @param state the folded state of the cell
     * @return the tasks
     */
    List<RunningTask> listReportedTasks(VmId vm, Collection<TaskReport> reported, CellState state) {
        Map<TaskId, TaskReport> reports = new HashMap<>();
        reported.forEach(report -> reports.put(report.task(), report));
        List<RunningTask> result = new ArrayList<>();
        for (TaskState task : state.getTasks()) {
            TaskReport report = reports.get(task.task());
            if (task.isAssigned() && task.worker().equals(vm) && report != null) {
                result.add(createRunningTask(task, report));
            }
        }
        return result;
    }
}
