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
package org.standlink.agent;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.standlink.ErrorCode;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.AttemptStatus;
import org.standlink.port.TaskStart;
import org.standlink.port.WorkerPort;
import org.standlink.wire.Assignment;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.TaskReport;

/**
 * Runs the assigned tasks on the local worker, under the node lease and the worker lease.
 *
 * <p>Answers of the leader are passed to {@link #accept}. {@link #tick} applies them on one thread
 * and then publishes the resulting state, see {@link #getReport}. When a report names a grant, this
 * process therefore makes no more calls to the worker under an older one.
 *
 * <p>{@code TaskSupervisor} is thread-safe; {@code tick} must be called by one thread at a time.
 */
public final class TaskSupervisor {

    /** The processor share of a task that is not throttled, in percent. */
    private static final int UNTHROTTLED_PERCENT = 100;

    /**
     * The errors after which a new worker lease is acquired. A call with unknown outcome may still
     * arrive at the worker, which refuses it once there is a new lease.
     */
    private static final Set<ErrorCode> LEASE_INVALIDATING_ERRORS =
            EnumSet.of(ErrorCode.LEASE_LAPSED, ErrorCode.PLATFORM_OUTCOME_UNKNOWN);

    private final WorkerPort worker;

    /** The clock, which is read again right before each call that requires a lease. */
    private final MonotonicClock clock;

    /** The latest grant of the leader. */
    private volatile NodeGrant grant = NodeGrant.NONE;

    /** The state after the last tick. */
    private volatile SupervisorReport report = SupervisorReport.NONE;

    private final WorkerLeaseHolder workerLease;

    /** The attempts that the worker last listed, updated by the calls since then. */
    private Map<TaskId, AttemptStatus> statuses = new HashMap<>();

    /** The attempts that have ended, retained while their tasks are assigned. */
    private final Map<TaskId, AttemptStatus> endedStatuses = new HashMap<>();

    /** The throttle that was last sent to the worker for each task, in percent. */
    private final Map<TaskId, Integer> throttlePercents = new HashMap<>();

    /**
     * Creates a supervisor without a grant.
     *
     * @param self this VM
     * @param worker the worker
     * @param clock the clock
     */
    public TaskSupervisor(VmId self, WorkerPort worker, MonotonicClock clock) {
        this.worker = worker;
        this.clock = clock;
        this.workerLease = new WorkerLeaseHolder(self, worker, clock);
    }

    // -----------------------------------------------------------------------
    /**
     * Accepts an answer of the leader, which the next tick applies.
     *
     * @param answer the answer
     * @param requestMillis when the heartbeat was sent, in milliseconds
     * @return false if the answer is older than the current grant and is ignored
     */
    public synchronized boolean accept(HeartbeatAnswer answer, long requestMillis) {
        if (grant.isNewerThan(answer)) {
            return false;
        }
        grant = grant.with(answer, requestMillis);
        return true;
    }

    /**
     * Applies the current grant: stops, throttles and starts tasks on the worker.
     *
     * @param capacity the capacity of the VM
     * @param reserved the resources reserved for services
     * @param leaving whether the VM is leaving, so that its tasks are stopped and none are started
     */
    public void tick(Resources capacity, Resources reserved, boolean leaving) {
        NodeGrant currentGrant = grant;
        boolean ready = false;
        try {
            if (isLive(currentGrant)) {
                workerLease.acquireOrRenew();
            }
            readWorker(currentGrant);
            ready = workerLease.isLive();
            if (ready) {
                applyGrant(currentGrant, new CapacityUsage(capacity, reserved), leaving);
            }
        } catch (StandlinkException failure) {
            ready = false;
            if (LEASE_INVALIDATING_ERRORS.contains(failure.getCode())) {
                workerLease.discard();
            }
        }
        report =
                new SupervisorReport(
                        currentGrant.epoch(),
                        currentGrant.generation(),
                        currentGrant.revision(),
                        ready && isLive(currentGrant),
                        createReports(currentGrant, leaving));
    }

    /**
     * Gets the state after the last tick.
     *
     * @return the report
     */
    public SupervisorReport getReport() {
        return report;
    }

    /**
     * Checks whether the node lease is live.
     *
     * @return true if so
     */
    public boolean isNodeLeaseLive() {
        return isLive(grant);
    }

    /**
     * Gets the number of attempts that were running on the worker after the last tick.
     *
     * @return the number of attempts
     */
    public int getRunningCount() {
        return (int) report.tasks().stream().filter(TaskSupervisor::isRunning).count();
    }

    // -----------------------------------------------------------------------
    private boolean isLive(NodeGrant currentGrant) {
        return currentGrant.lease().isLive(clock.nowMillis());
    }

    private void readWorker(NodeGrant currentGrant) {
        Map<TaskId, AttemptStatus> currentStatuses = new HashMap<>();
        for (AttemptStatus status : worker.list()) {
            currentStatuses.merge(status.task(), status, TaskSupervisor::selectNewer);
        }
        for (AttemptStatus status : statuses.values()) {
            if (isRunning(status) && !currentStatuses.containsKey(status.task())) {
                // A worker that no longer lists a running attempt was restarted, which ended it.
                endedStatuses.put(status.task(), withState(status, AttemptStatus.State.STOPPED));
            }
        }
        currentStatuses.values().forEach(this::recordEnd);
        Set<TaskId> assigned = new HashSet<>();
        currentGrant.assignments().forEach(assignment -> assigned.add(assignment.task()));
        endedStatuses.keySet().retainAll(assigned);
        endedStatuses
                .values()
                .forEach(
                        status ->
                                currentStatuses.merge(
                                        status.task(), status, TaskSupervisor::selectNewer));
        statuses = currentStatuses;
    }

    private void recordEnd(AttemptStatus status) {
        if (!isRunning(status)) {
            endedStatuses.merge(status.task(), status, TaskSupervisor::selectNewer);
        }
    }

    private static AttemptStatus withState(AttemptStatus status, AttemptStatus.State state) {
        return new AttemptStatus(
                status.task(),
                status.attempt(),
                state,
                status.checkpoint(),
                status.reserved(),
                status.usage());
    }

    private static AttemptStatus selectNewer(AttemptStatus first, AttemptStatus second) {
        // A running attempt takes precedence over a later one that has ended.
        if (isRunning(first) != isRunning(second)) {
            return isRunning(first) ? first : second;
        }
        return first.attempt().isAfter(second.attempt()) ? first : second;
    }

    private void applyGrant(NodeGrant currentGrant, CapacityUsage capacityUsage, boolean leaving) {
        Map<TaskId, Assignment> assignments = new HashMap<>();
        if (isLive(currentGrant)) {
            currentGrant
                    .assignments()
                    .forEach(assignment -> assignments.put(assignment.task(), assignment));
        }
        for (AttemptStatus status : List.copyOf(statuses.values())) {
            if (isRunning(status)) {
                keepOrStop(status, assignments.get(status.task()), capacityUsage, leaving);
            }
        }
        stopExcess(assignments, capacityUsage);
        if (!leaving) {
            assignments.values().stream()
                    .sorted(
                            Comparator.comparingInt(Assignment::priority)
                                    .reversed()
                                    .thenComparing(Assignment::task))
                    .forEach(
                            assignment -> startIfCapacity(currentGrant, assignment, capacityUsage));
        }
    }

    private void keepOrStop(
            AttemptStatus status,
            Assignment assignment,
            CapacityUsage capacityUsage,
            boolean leaving) {
        boolean mayContinue =
                assignment != null
                        && assignment.attempt().equals(status.attempt())
                        && !assignment.stop()
                        && !leaving;
        if (!mayContinue) {
            stop(status);
            return;
        }
        capacityUsage.addAllocated(status.reserved());
        throttle(assignment);
    }

    private void stopExcess(Map<TaskId, Assignment> assignments, CapacityUsage capacityUsage) {
        if (!capacityUsage.isOvercommitted()) {
            return;
        }
        List<AttemptStatus> running = new ArrayList<>(statuses.values());
        running.removeIf(status -> !isRunning(status));
        running.sort(Comparator.comparingInt(status -> assignments.get(status.task()).priority()));
        for (AttemptStatus status : running) {
            if (!capacityUsage.isOvercommitted()) {
                return;
            }
            stop(status);
            capacityUsage.release(status.reserved());
        }
    }

    private void startIfCapacity(
            NodeGrant currentGrant, Assignment assignment, CapacityUsage capacityUsage) {
        AttemptStatus status = statuses.get(assignment.task());
        boolean mayStart =
                !assignment.stop()
                        && (status == null
                                || !isRunning(status)
                                        && assignment.attempt().isAfter(status.attempt()));
        if (!mayStart || !capacityUsage.tryAllocate(assignment.resources())) {
            return;
        }
        // The worker checks the lease too, so a pause after this check does not start a task.
        if (!isLive(currentGrant) || !workerLease.isLive()) {
            return;
        }
        start(assignment, capacityUsage);
    }

    private void start(Assignment assignment, CapacityUsage capacityUsage) {
        TaskStart start =
                new TaskStart(
                        assignment.task(),
                        assignment.attempt(),
                        assignment.resources(),
                        assignment.runSeconds(),
                        assignment.checkpoint());
        try {
            worker.start(workerLease.getToken(), start);
            statuses.put(
                    assignment.task(),
                    new AttemptStatus(
                            assignment.task(),
                            assignment.attempt(),
                            AttemptStatus.State.RUNNING,
                            assignment.checkpoint(),
                            assignment.resources(),
                            null));
        } catch (StandlinkException refused) {
            if (refused.getCode() != ErrorCode.NO_CAPACITY) {
                throw refused;
            }
            capacityUsage.release(assignment.resources());
        }
    }

    private void stop(AttemptStatus status) {
        AttemptStatus stopped =
                worker.stop(workerLease.getToken(), status.task(), status.attempt());
        statuses.put(status.task(), stopped);
        recordEnd(stopped);
        throttlePercents.remove(status.task());
    }

    private void throttle(Assignment assignment) {
        int currentPercent = throttlePercents.getOrDefault(assignment.task(), UNTHROTTLED_PERCENT);
        if (assignment.throttlePercent() != currentPercent) {
            worker.throttle(
                    workerLease.getToken(), assignment.task(), assignment.throttlePercent());
            throttlePercents.put(assignment.task(), assignment.throttlePercent());
        }
    }

    // -----------------------------------------------------------------------
    private List<TaskReport> createReports(NodeGrant currentGrant, boolean leaving) {
        Map<TaskId, TaskReport> reports = new HashMap<>();
        for (Assignment assignment : currentGrant.assignments()) {
            AttemptStatus status = statuses.get(assignment.task());
            if (status == null || assignment.attempt().isAfter(status.attempt())) {
                reports.put(assignment.task(), createUnstartedReport(assignment, leaving));
            } else {
                reports.put(assignment.task(), createReport(status));
            }
        }
        statuses.values().stream()
                .filter(TaskSupervisor::isRunning)
                .forEach(status -> reports.putIfAbsent(status.task(), createReport(status)));
        return List.copyOf(reports.values());
    }

    private static TaskReport createUnstartedReport(Assignment assignment, boolean leaving) {
        boolean neverStarts = assignment.stop() || leaving;
        return new TaskReport(
                assignment.task(),
                assignment.attempt(),
                neverStarts ? TaskReport.State.STOPPED : TaskReport.State.QUEUED,
                assignment.checkpoint(),
                null);
    }

    private static TaskReport createReport(AttemptStatus status) {
        return new TaskReport(
                status.task(),
                status.attempt(),
                TaskReport.State.valueOf(status.state().name()),
                status.checkpoint(),
                status.usage());
    }

    private static boolean isRunning(AttemptStatus status) {
        return status.state() == AttemptStatus.State.RUNNING;
    }

    private static boolean isRunning(TaskReport task) {
        return task.state() == TaskReport.State.RUNNING;
    }
}
