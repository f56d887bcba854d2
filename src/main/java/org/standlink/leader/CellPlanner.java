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
import java.util.Set;
import java.util.function.IntSupplier;
import org.standlink.Attempt;
import org.standlink.CellId;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.JobSpecification;
import org.standlink.bundle.Mode;
import org.standlink.bundle.PlacementRule;
import org.standlink.bundle.Urgency;
import org.standlink.log.CellState;
import org.standlink.log.TaskEvent;
import org.standlink.log.TaskState;
import org.standlink.policy.GradualRelief;
import org.standlink.policy.InterferenceAwarePlacement;
import org.standlink.policy.InterferenceModel;
import org.standlink.policy.LearnedInterference;
import org.standlink.policy.LearnedSizes;
import org.standlink.policy.PlacementDecision;
import org.standlink.policy.PlanningResult;
import org.standlink.policy.ReliefAction;
import org.standlink.policy.ReliefPolicy;
import org.standlink.policy.RunningTask;
import org.standlink.policy.ServiceLoad;
import org.standlink.policy.ServiceMeasurement;
import org.standlink.policy.SizeEstimator;
import org.standlink.policy.TaskDemand;
import org.standlink.policy.TaskPlanner;
import org.standlink.policy.WaitingReason;
import org.standlink.policy.WorkerHealthPolicy;
import org.standlink.policy.WorkerView;
import org.standlink.wire.Assignment;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.ServiceReport;
import org.standlink.wire.TaskReport;

/**
 * Translates the state of a cell into the input of the policies, and their decisions into task
 * events.
 *
 * <p>Learned sizes and interference are held in memory only; a new leader learns them again.
 *
 * <p>{@code CellPlanner} is mutable and not thread-safe; {@link LeaderService} synchronises access.
 */
public final class CellPlanner {

    /** The maximum number of tasks assigned in advance to one worker. */
    private static final int BACKLOG_PER_WORKER = 2;

    /** What urgency adds to the priority of a task at its agent. */
    private static final int URGENT_PRIORITY = 1000;

    private final CellId cell;

    /** Supplies the hour of the day, UTC. */
    private final IntSupplier hourOfDay;

    private final SizeEstimator sizes = new LearnedSizes();
    private final InterferenceModel interference = new LearnedInterference();
    private final ReliefPolicy relief = new GradualRelief(interference);
    private final WorkerHealthPolicy health = new WorkerHealthPolicy();

    /** The load of the services on each VM, as last reported. */
    private final Map<VmId, List<ServiceLoad>> loads = new HashMap<>();

    private final TaskOrders orders = new TaskOrders();

    /** The reasons why tasks are waiting, as of the last round. */
    private Map<TaskId, String> waitingReasons = Map.of();

    /**
     * Creates the planner of a cell.
     *
     * @param cell the cell
     * @param hourOfDay supplies the hour of the day, UTC
     */
    public CellPlanner(CellId cell, IntSupplier hourOfDay) {
        this.cell = cell;
        this.hourOfDay = hourOfDay;
    }

    // -----------------------------------------------------------------------
    /**
     * Checks whether a task is managed by standlink.
     *
     * @param bundle the bundle in force, null if none
     * @param task the task
     * @return true if its job is in the bundle, has that task and is managed
     */
    static boolean isManaged(Bundle bundle, TaskId task) {
        if (bundle == null) {
            return false;
        }
        return bundle.findJob(task.getJob())
                .filter(job -> job.mode() == Mode.MANAGE && task.getIndex() < job.tasks())
                .isPresent();
    }

    /**
     * Creates the assignment that is sent to an agent.
     *
     * @param task an assigned task of a managed job
     * @param bundle the bundle in force
     * @param abandoned whether the end of the attempt has been decided, so that it may only be
     *     stopped
     * @return the assignment
     */
    Assignment createAssignment(TaskState task, Bundle bundle, boolean abandoned) {
        JobSpecification job = bundle.findJob(task.task().getJob()).orElseThrow();
        int urgency = job.urgency() == Urgency.URGENT ? URGENT_PRIORITY : 0;
        return new Assignment(
                task.task(),
                task.attempt(),
                task.resources(),
                urgency + job.priority(),
                job.runSeconds(),
                task.checkpoint(),
                abandoned || orders.isStopOrdered(task),
                orders.getThrottle(task.task()));
    }

    /**
     * Learns sizes and interference from a heartbeat and relieves services at risk.
     *
     * @param heartbeat the heartbeat
     * @param reports the last report of each of the agent's tasks
     * @param state the folded state of the cell
     * @param bundle the bundle in force
     */
    void processHeartbeat(
            Heartbeat heartbeat, Collection<TaskReport> reports, CellState state, Bundle bundle) {
        for (TaskReport report : heartbeat.tasks()) {
            if (report.usage() != null) {
                bundle.findJob(report.task().getJob())
                        .ifPresent(job -> sizes.observe(job.batchClass(), report.usage()));
            }
        }
        List<RunningTask> colocatedTasks =
                createViews(bundle).listReportedTasks(heartbeat.vm(), reports, state);
        List<String> classes =
                colocatedTasks.stream()
                        .filter(task -> !task.queued())
                        .map(RunningTask::batchClass)
                        .toList();
        List<ServiceLoad> loadsOfVm = new ArrayList<>();
        for (ServiceReport report : heartbeat.services()) {
            ServiceLoad load = new ServiceLoad(report.service(), report.level());
            loadsOfVm.add(load);
            interference.observe(load, classes, report.latencyPercent());
            if (isManaged(bundle, report)) {
                ServiceMeasurement measurement =
                        new ServiceMeasurement(heartbeat.vm(), load, report.latencyPercent());
                relief.relieve(measurement, colocatedTasks)
                        .forEach(action -> orderRelief(action, state));
            }
        }
        loads.put(heartbeat.vm(), loadsOfVm);
    }

    /**
     * Records the end of an attempt.
     *
     * @param event the end
     * @param worker the worker that ran it
     */
    void recordEnd(TaskEvent event, VmId worker) {
        orders.remove(event.task());
        if (event.kind() == TaskEvent.Kind.FINISH) {
            health.recordSuccess(worker, event.task());
        }
    }

    /**
     * Records a failed attempt.
     *
     * @param event the failure
     * @param worker the worker that ran it
     * @param nowMillis the time, in milliseconds
     */
    void recordFailure(TaskEvent event, VmId worker, long nowMillis) {
        health.recordFailure(worker, event.task(), nowMillis);
    }

    /**
     * Plans one round.
     *
     * @param state the folded state of the cell
     * @param bundle the bundle in force
     * @param agents the leader's state of the agents
     * @param nowMillis the time, in milliseconds
     * @return the assignments to append
     */
    List<TaskEvent> plan(
            CellState state, Bundle bundle, Map<VmId, AgentEntry> agents, long nowMillis) {
        List<TaskDemand> demands = new ArrayList<>();
        Map<TaskId, String> reasons = new HashMap<>();
        for (JobSpecification job : bundle.jobs()) {
            if (job.cell().equals(cell)) {
                collectDemands(job, state, bundle, demands, reasons);
            }
        }
        CellViews views = createViews(bundle);
        List<RunningTask> running = views.listAssignedTasks(state, agents);
        List<WorkerView> workers =
                views.createWorkerViews(
                        agents, running, loads, vm -> health.isUsable(vm, nowMillis));
        PlanningResult plan =
                createTaskPlanner(bundle)
                        .plan(demands, workers, running, views.computeQuotaUsage(running));
        plan.evictions().forEach(task -> orders.orderStop(task, state.getTask(task).attempt()));
        reasons.putAll(plan.waiting());
        waitingReasons = reasons;
        return createEvents(plan, state);
    }

    CellId getCell() {
        return cell;
    }

    /**
     * Gets the reasons why tasks are waiting.
     *
     * @return the reasons by task, as of the last round
     */
    Map<TaskId, String> getWaitingReasons() {
        return waitingReasons;
    }

    // -----------------------------------------------------------------------
    private List<TaskEvent> createEvents(PlanningResult plan, CellState state) {
        List<TaskEvent> events = new ArrayList<>();
        for (Map.Entry<TaskId, PlacementDecision> placement : plan.placements().entrySet()) {
            PlacementDecision decision = placement.getValue();
            Attempt attempt = state.getTask(placement.getKey()).attempt().next();
            health.recordAssignment(decision.worker());
            events.add(
                    TaskEvent.ofAssign(
                            placement.getKey(), attempt, decision.worker(), decision.resources()));
        }
        return events;
    }

    private void collectDemands(
            JobSpecification job,
            CellState state,
            Bundle bundle,
            List<TaskDemand> demands,
            Map<TaskId, String> reasons) {
        for (int index = 0; index < job.tasks(); index++) {
            TaskId task = TaskId.of(job.id(), index);
            if (state.getTask(task).phase() != TaskState.Phase.WAITING) {
                continue;
            }
            if (job.mode() == Mode.OBSERVE) {
                reasons.put(task, WaitingReason.OBSERVED.toString());
            } else if (health.isSuspended(job.id())) {
                reasons.put(task, WaitingReason.KEEPS_FAILING.toString());
            } else {
                demands.add(createDemand(job, task, bundle));
            }
        }
    }

    private TaskDemand createDemand(JobSpecification job, TaskId task, Bundle bundle) {
        Optional<PlacementRule> rule =
                bundle.rules().stream().filter(r -> r.job().equals(job.id())).findFirst();
        int hoursLeft =
                job.finishByHour() < 0
                        ? -1
                        : Math.floorMod(job.finishByHour() - hourOfDay.getAsInt(), 24);
        return new TaskDemand(
                task,
                job.team(),
                job.batchClass(),
                job.resources(),
                job.urgency() == Urgency.URGENT,
                job.priority(),
                hoursLeft,
                rule.map(r -> Set.copyOf(r.halls())).orElse(Set.of()),
                rule.map(r -> Set.copyOf(r.avoidServices())).orElse(Set.of()),
                health.getAvoidedWorkers(task));
    }

    private CellViews createViews(Bundle bundle) {
        return new CellViews(cell, bundle, orders);
    }

    private TaskPlanner createTaskPlanner(Bundle bundle) {
        InterferenceAwarePlacement placement =
                new InterferenceAwarePlacement(
                        sizes,
                        interference,
                        bundle.weights().latency(),
                        bundle.weights().throughput());
        return new TaskPlanner(placement, sizes, BACKLOG_PER_WORKER);
    }

    private static boolean isManaged(Bundle bundle, ServiceReport report) {
        return bundle.findService(report.service())
                .filter(service -> service.mode() == Mode.MANAGE)
                .isPresent();
    }

    private void orderRelief(ReliefAction action, CellState state) {
        if (action.throttlePercent() == 0) {
            orders.orderStop(action.task(), state.getTask(action.task()).attempt());
        } else {
            orders.orderThrottle(action.task(), action.throttlePercent());
        }
    }
}
