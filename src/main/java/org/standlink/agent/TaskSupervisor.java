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
import org.standlink.port.TaskStart;
import org.standlink.port.TaskUsage;
import org.standlink.port.WorkerPort;
import org.standlink.wire.Assignment;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.TaskReport;

/**
 * Runs the assigned tasks on the local worker, under the node lease and the worker lease.
 *
 * <p>Answers of the leader come in by {@link #accept}; {@link #tick} carries them out, on one
 * thread, and then publishes what stands, by {@link #getReport}. So a report always tells of a
 * state in which no call to the worker on behalf of an older grant is under way.
 *
 * <p>{@code TaskSupervisor} is thread-safe; {@code tick} must be called by one thread at a time.
 */
public final class TaskSupervisor {

    /** The share of its processors that a task may use when nothing is throttled, in percent. */
    private static final int UNTHROTTLED = 100;

    /**
     * Errors after which the worker lease is taken anew. A call whose outcome is not known may
     * still be on its way; with the new lease it is refused when it arrives.
     */
    private static final Set<ErrorCode> MAKES_LEASE_VOID =
            EnumSet.of(ErrorCode.LEASE_LAPSED, ErrorCode.PLATFORM_OUTCOME_UNKNOWN);

    /** The worker. */
    private final WorkerPort worker;

    /** The clock, read anew right before each act that needs a lease. */
    private final MonotonicClock clock;

    /** What the leader granted. */
    private volatile NodeGrant grant = NodeGrant.NONE;

    /** What stood after the last tick. */
    private volatile SupervisorReport report = SupervisorReport.NONE;

    /** The worker lease. */
    private final WorkerLeaseHolder lease;

    /** What the worker knows, as of the last reading. */
    private Map<TaskId, TaskUsage> known = new HashMap<>();

    /** Attempts seen to have ended, for as long as they are assigned. */
    private final Map<TaskId, TaskUsage> ended = new HashMap<>();

    /** The throttle that the worker was last told. */
    private final Map<TaskId, Integer> throttles = new HashMap<>();

    /**
     * Constructor.
     *
     * @param self this VM
     * @param worker the worker
     * @param clock the clock
     */
    public TaskSupervisor(VmId self, WorkerPort worker, MonotonicClock clock) {
        this.worker = worker;
        this.clock = clock;
        this.lease = new WorkerLeaseHolder(self, worker, clock);
    }

    // -----------------------------------------------------------------------
    /**
     * Takes in an answer of the leader.
     *
     * @param answer the answer
     * @param askedMillis when its heartbeat was sent, in milliseconds
     * @return false if the answer is older than what is held and was passed over
     */
    public synchronized boolean accept(HeartbeatAnswer answer, long askedMillis) {
        if (grant.isNewerThan(answer)) {
            return false;
        }
        grant = grant.with(answer, askedMillis);
        return true;
    }

    /**
     * Carries out what is granted.
     *
     * @param capacity what the VM has
     * @param reserved what services take of it
     * @param leaving whether the VM is leaving, so that nothing new is started
     */
    public void tick(Resources capacity, Resources reserved, boolean leaving) {
        NodeGrant now = grant;
        boolean ready = false;
        try {
            if (isLive(now)) {
                lease.acquireOrRenew();
            }
            readWorker(now);
            ready = lease.isLive();
            if (ready) {
                carryOut(now, new CapacityUsage(capacity, reserved), leaving);
            }
        } catch (StandlinkException failure) {
            ready = false;
            if (MAKES_LEASE_VOID.contains(failure.getCode())) {
                lease.discard();
            }
        }
        report =
                new SupervisorReport(
                        now.epoch(),
                        now.generation(),
                        now.revision(),
                        ready && isLive(now),
                        reports(now, leaving));
    }

    /**
     * Gets what stood after the last tick.
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
     * Gets how many attempts run on the worker, as far as known.
     *
     * @return the number
     */
    public int getRunning() {
        return (int) report.tasks().stream().filter(TaskSupervisor::isRunning).count();
    }

    // -----------------------------------------------------------------------
    private boolean isLive(NodeGrant now) {
        return now.lease().isLive(clock.nowMillis());
    }

    private void readWorker(NodeGrant now) {
        Map<TaskId, TaskUsage> fresh = new HashMap<>();
        for (TaskUsage usage : worker.list()) {
            fresh.merge(usage.task(), usage, TaskSupervisor::newer);
        }
        for (TaskUsage usage : known.values()) {
            if (isRunning(usage) && !fresh.containsKey(usage.task())) {
                // The worker has forgotten the attempt, so it was restarted and nothing runs there.
                ended.put(usage.task(), withState(usage, TaskUsage.State.STOPPED));
            }
        }
        fresh.values().forEach(this::noteEnd);
        Set<TaskId> assigned = new HashSet<>();
        now.assignments().forEach(assignment -> assigned.add(assignment.task()));
        ended.keySet().retainAll(assigned);
        ended.values().forEach(usage -> fresh.merge(usage.task(), usage, TaskSupervisor::newer));
        known = fresh;
    }

    private void noteEnd(TaskUsage usage) {
        if (!isRunning(usage)) {
            ended.merge(usage.task(), usage, TaskSupervisor::newer);
        }
    }

    private static TaskUsage withState(TaskUsage usage, TaskUsage.State state) {
        return new TaskUsage(
                usage.task(),
                usage.attempt(),
                state,
                usage.checkpoint(),
                usage.reserved(),
                usage.usage());
    }

    private static TaskUsage newer(TaskUsage first, TaskUsage second) {
        // An attempt that still runs counts before a later one that has ended.
        if (isRunning(first) != isRunning(second)) {
            return isRunning(first) ? first : second;
        }
        return first.attempt().isAfter(second.attempt()) ? first : second;
    }

    private void carryOut(NodeGrant now, CapacityUsage ledger, boolean leaving) {
        Map<TaskId, Assignment> wanted = new HashMap<>();
        if (isLive(now)) {
            now.assignments().forEach(assignment -> wanted.put(assignment.task(), assignment));
        }
        for (TaskUsage usage : List.copyOf(known.values())) {
            if (isRunning(usage)) {
                keepOrStop(usage, wanted.get(usage.task()), ledger, leaving);
            }
        }
        shed(wanted, ledger);
        if (!leaving) {
            wanted.values().stream()
                    .sorted(
                            Comparator.comparingInt(Assignment::priority)
                                    .reversed()
                                    .thenComparing(Assignment::task))
                    .forEach(assignment -> startIfRoom(now, assignment, ledger));
        }
    }

    private void keepOrStop(
            TaskUsage usage, Assignment assignment, CapacityUsage ledger, boolean leaving) {
        boolean keep =
                assignment != null
                        && assignment.attempt().equals(usage.attempt())
                        && !assignment.stop()
                        && !leaving;
        if (!keep) {
            stop(usage);
            return;
        }
        ledger.addAllocated(usage.reserved());
        throttle(assignment);
    }

    private void shed(Map<TaskId, Assignment> wanted, CapacityUsage ledger) {
        if (!ledger.isOvercommitted()) {
            return;
        }
        List<TaskUsage> running = new ArrayList<>(known.values());
        running.removeIf(usage -> !isRunning(usage));
        running.sort(Comparator.comparingInt(usage -> wanted.get(usage.task()).priority()));
        for (TaskUsage usage : running) {
            if (!ledger.isOvercommitted()) {
                return;
            }
            stop(usage);
            ledger.release(usage.reserved());
        }
    }

    private void startIfRoom(NodeGrant now, Assignment assignment, CapacityUsage ledger) {
        TaskUsage usage = known.get(assignment.task());
        boolean mayStart =
                !assignment.stop()
                        && (usage == null
                                || !isRunning(usage)
                                        && assignment.attempt().isAfter(usage.attempt()));
        if (!mayStart || !ledger.tryAllocate(assignment.resources())) {
            return;
        }
        // The worker checks the lease again, so a pause right here starts nothing.
        if (!isLive(now) || !lease.isLive()) {
            return;
        }
        start(assignment, ledger);
    }

    private void start(Assignment assignment, CapacityUsage ledger) {
        TaskStart start =
                new TaskStart(
                        assignment.task(),
                        assignment.attempt(),
                        assignment.resources(),
                        assignment.runSeconds(),
                        assignment.checkpoint());
        try {
            worker.start(lease.getToken(), start);
            known.put(
                    assignment.task(),
                    new TaskUsage(
                            assignment.task(),
                            assignment.attempt(),
                            TaskUsage.State.RUNNING,
                            assignment.checkpoint(),
                            assignment.resources(),
                            null));
        } catch (StandlinkException refused) {
            if (refused.getCode() != ErrorCode.NO_CAPACITY) {
                throw refused;
            }
            ledger.release(assignment.resources());
        }
    }

    private void stop(TaskUsage usage) {
        TaskUsage stopped = worker.stop(lease.getToken(), usage.task(), usage.attempt());
        known.put(usage.task(), stopped);
        noteEnd(stopped);
        throttles.remove(usage.task());
    }

    private void throttle(Assignment assignment) {
        int present = throttles.getOrDefault(assignment.task(), UNTHROTTLED);
        if (assignment.throttlePercent() != present) {
            worker.throttle(lease.getToken(), assignment.task(), assignment.throttlePercent());
            throttles.put(assignment.task(), assignment.throttlePercent());
        }
    }

    // -----------------------------------------------------------------------
    private List<TaskReport> reports(NodeGrant now, boolean leaving) {
        Map<TaskId, TaskReport> reports = new HashMap<>();
        for (Assignment assignment : now.assignments()) {
            TaskUsage usage = known.get(assignment.task());
            if (usage == null || assignment.attempt().isAfter(usage.attempt())) {
                reports.put(assignment.task(), notStarted(assignment, leaving));
            } else {
                reports.put(assignment.task(), reported(usage));
            }
        }
        known.values().stream()
                .filter(TaskSupervisor::isRunning)
                .forEach(usage -> reports.putIfAbsent(usage.task(), reported(usage)));
        return List.copyOf(reports.values());
    }

    private static TaskReport notStarted(Assignment assignment, boolean leaving) {
        boolean never = assignment.stop() || leaving;
        return new TaskReport(
                assignment.task(),
                assignment.attempt(),
                never ? TaskReport.State.STOPPED : TaskReport.State.QUEUED,
                assignment.checkpoint(),
                null);
    }

    private static TaskReport reported(TaskUsage usage) {
        return new TaskReport(
                usage.task(),
                usage.attempt(),
                TaskReport.State.valueOf(usage.state().name()),
                usage.checkpoint(),
                usage.usage());
    }

    private static boolean isRunning(TaskUsage usage) {
        return usage.state() == TaskUsage.State.RUNNING;
    }

    private static boolean isRunning(TaskReport task) {
        return task.state() == TaskReport.State.RUNNING;
    }
}
