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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.WorkerSpecification;
import org.standlink.lease.LeaseTimes;
import org.standlink.log.CellState;
import org.standlink.log.TaskEvent;
import org.standlink.log.TaskState;
import org.standlink.wire.Assignment;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.TaskReport;

/**
 * Leads one cell under one epoch: grants node leases and decides which attempts have ended.
 *
 * <p>The leader acts only on the folded state of the log. It proposes an end of an attempt
 * repeatedly until the folded state shows it, and never revokes it: once an end has been proposed,
 * the agent may only stop the attempt, even if the agent reconnects or the job is added again in
 * the meantime.
 *
 * <p>{@code BundleCellLeader} is mutable and not thread-safe; its owner synchronises access.
 */
public final class BundleCellLeader {

    /** The distance between the first revisions of successive epochs. */
    private static final long REVISIONS_PER_EPOCH = 1L << 32;

    private final Epoch epoch;

    /** The incarnation of this process. */
    private final Incarnation incarnation;

    private final LeaseTimes times;
    private final CellPlanner planner;

    /**
     * When the claim had been read from the log, in milliseconds. The old leader may have confirmed
     * its epoch until the claim was appended, which may have happened as late as during that read.
     */
    private final long claimedMillis;

    /**
     * When the last read of the log that showed this epoch in force was started, in milliseconds.
     */
    private long confirmedMillis;

    private final Map<VmId, AgentEntry> agents = new TreeMap<>();

    /** The old leader, once it can no longer grant leases to its own agent; null until then. */
    private VmId excludedLeader;

    /** When {@link #excludedLeader} was set, in milliseconds. */
    private long excludedMillis;

    /** Ends of attempts that the folded state does not show yet. */
    private final Map<TaskId, TaskEvent> pendingEnds = new HashMap<>();

    /**
     * Creates the leader of an epoch that has been claimed.
     *
     * @param epoch the epoch
     * @param incarnation the incarnation of this process
     * @param times the lengths of the leases
     * @param planner decides on assignments, throttles and stops
     * @param claimedMillis when the claim had been read from the log, in milliseconds
     * @param confirmedMillis when the read of the log that showed the claim was started, in
     *     milliseconds
     */
    public BundleCellLeader(
            Epoch epoch,
            Incarnation incarnation,
            LeaseTimes times,
            CellPlanner planner,
            long claimedMillis,
            long confirmedMillis) {
        this.epoch = epoch;
        this.incarnation = incarnation;
        this.times = times;
        this.planner = planner;
        this.claimedMillis = claimedMillis;
        this.confirmedMillis = confirmedMillis;
    }

    // -----------------------------------------------------------------------
    /**
     * Records a read of the log that showed this epoch in force.
     *
     * @param readStartMillis when the read was started, in milliseconds
     */
    public void confirmEpoch(long readStartMillis) {
        confirmedMillis = Math.max(confirmedMillis, readStartMillis);
    }

    /**
     * Checks whether this process may still act as leader.
     *
     * @param state the folded state of the cell
     * @param nowMillis the time, in milliseconds
     * @return true while the epoch is in force as far as known and the authority has not expired
     */
    public boolean isLeading(CellState state, long nowMillis) {
        return state.getEpoch().equals(epoch)
                && incarnation.equals(state.getIncarnation())
                && nowMillis < confirmedMillis + times.authorityMillis();
    }

    /**
     * Answers a heartbeat with a node lease and the agent's assignments.
     *
     * @param heartbeat the heartbeat
     * @param state the folded state of the cell
     * @param bundle the bundle in force, null if none
     * @param signedText the signed text of the bundle, null if none
     * @param nowMillis the time, in milliseconds
     * @return the answer
     * @throws StandlinkException with code LEASE_LAPSED if this process may not act as leader
     */
    public HeartbeatAnswer handleHeartbeat(
            Heartbeat heartbeat,
            CellState state,
            Bundle bundle,
            String signedText,
            long nowMillis) {
        if (!isLeading(state, nowMillis) || heartbeat.epoch().isAfter(epoch)) {
            throw notLeading();
        }
        if (heartbeat.vm().equals(state.getLeader())
                && !mayGrantOwnLease(state, bundle, nowMillis)) {
            throw notLeading();
        }
        AgentEntry agent = agents.getOrDefault(heartbeat.vm(), new AgentEntry());
        if (!agent.isAcceptable(heartbeat)) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "heartbeat " + heartbeat.number() + " does not follow the last one received",
                    "send a full heartbeat");
        }
        // The agent is added only here, as a rejected heartbeat does not count as a report of it.
        agents.put(heartbeat.vm(), agent);
        agent.receiveHeartbeat(heartbeat, epoch, nowMillis);
        if (bundle != null) {
            planner.processHeartbeat(heartbeat, agent.getReports(), state, bundle);
        }
        agent.updateAssignments(
                createAssignments(heartbeat.vm(), state, bundle),
                epoch.getValue() * REVISIONS_PER_EPOCH + 1);
        boolean bundleOutdated = bundle != null && bundle.version().isAfter(heartbeat.bundle());
        boolean assignmentsCurrent = heartbeat.revision() == agent.getRevision();
        return new HeartbeatAnswer(
                epoch,
                agent.getGeneration(),
                times.nodeMillis(),
                bundle == null ? heartbeat.bundle() : bundle.version(),
                bundleOutdated ? signedText : null,
                agent.getRevision(),
                assignmentsCurrent ? null : agent.getAssignments(),
                nowMillis - confirmedMillis);
    }

    /**
     * Decides which attempts have ended and which tasks are assigned.
     *
     * @param state the folded state of the cell
     * @param bundle the bundle in force
     * @param nowMillis the time, in milliseconds
     * @return the events to append, empty if there are none
     * @throws StandlinkException with code LEASE_LAPSED if this process may not act as leader
     */
    public List<TaskEvent> decide(CellState state, Bundle bundle, long nowMillis) {
        if (!isLeading(state, nowMillis)) {
            throw notLeading();
        }
        removeFoldedEnds(state);
        detectExclusion(state, bundle, nowMillis);
        agents.forEach(
                (vm, agent) -> {
                    if (agent.hasReported() && isUnresponsive(vm, agent, nowMillis)) {
                        agent.markLost();
                    }
                });
        for (TaskState task : state.getTasks()) {
            if (task.isAssigned() && !pendingEnds.containsKey(task.task())) {
                decideEnd(task, bundle, nowMillis);
            }
        }
        List<TaskEvent> events = new ArrayList<>(pendingEnds.values());
        events.addAll(planner.plan(state, bundle, agents, nowMillis));
        return events;
    }

    /**
     * Gets the leader's state of the agents.
     *
     * @return the agents by VM
     */
    Map<VmId, AgentEntry> getAgents() {
        return agents;
    }

    /**
     * Gets the epoch under which this process leads.
     *
     * @return the epoch
     */
    public Epoch getEpoch() {
        return epoch;
    }

    CellPlanner getPlanner() {
        return planner;
    }

    // -----------------------------------------------------------------------
    private void removeFoldedEnds(CellState state) {
        pendingEnds.values().removeIf(event -> !isPending(event, state));
    }

    private static boolean isPending(TaskEvent event, CellState state) {
        TaskState task = state.getTask(event.task());
        return task.isAssigned() && task.attempt().equals(event.attempt());
    }

    private void decideEnd(TaskState task, Bundle bundle, long nowMillis) {
        AgentEntry agent = agents.get(task.worker());
        if (agent == null) {
            if (nowMillis >= getEndOfOldLeases(task.worker())) {
                endAttempt(TaskEvent.Kind.RELEASE, task, null);
            }
            return;
        }
        if (agent.isLost()) {
            endAttempt(TaskEvent.Kind.RELEASE, task, null);
            return;
        }
        if (agent.isReportCurrent(epoch)) {
            endByReport(task, agent, bundle, nowMillis);
        }
    }

    private void endByReport(TaskState task, AgentEntry agent, Bundle bundle, long nowMillis) {
        TaskReport report = agent.getReport(task.task());
        boolean reported = report != null && report.attempt().equals(task.attempt());
        if (!reported) {
            boolean assignmentsKnown = agent.getLastHeartbeat().revision() == agent.getRevision();
            if (assignmentsKnown && !CellPlanner.isManaged(bundle, task.task())) {
                endAttempt(TaskEvent.Kind.RELEASE, task, null);
            }
            return;
        }
        switch (report.state()) {
            case FINISHED -> endAttempt(TaskEvent.Kind.FINISH, task, null);
            case FAILED -> failAttempt(task, report.checkpoint(), nowMillis);
            case STOPPED -> endAttempt(TaskEvent.Kind.RELEASE, task, report.checkpoint());
            default -> {
                // Queued and running attempts continue.
            }
        }
    }

    private void failAttempt(TaskState task, String checkpoint, long nowMillis) {
        TaskEvent event = endAttempt(TaskEvent.Kind.FAIL, task, checkpoint);
        planner.recordFailure(event, task.worker(), nowMillis);
    }

    private TaskEvent endAttempt(TaskEvent.Kind kind, TaskState task, String checkpoint) {
        TaskEvent event = TaskEvent.ofEnd(kind, task.task(), task.attempt(), checkpoint);
        pendingEnds.put(task.task(), event);
        planner.recordEnd(event, task.worker());
        return event;
    }

    private boolean isUnresponsive(VmId vm, AgentEntry agent, long nowMillis) {
        long endOfLeases =
                agent.getGrantedMillis() + times.nodeMillis() + times.unresponsiveAgentMillis();
        // Until it has acknowledged this epoch, the agent may still accept leases of the old
        // leader.
        long endOfOldLeases = agent.isAcknowledged() ? Long.MIN_VALUE : getEndOfOldLeases(vm);
        return nowMillis >= Math.max(endOfLeases, endOfOldLeases);
    }

    /** Gets when an agent that has not acknowledged this epoch certainly runs no tasks any more. */
    private long getEndOfOldLeases(VmId vm) {
        long end = claimedMillis + times.unacknowledgedAgentMillis();
        if (!vm.equals(excludedLeader)) {
            return end;
        }
        long endAfterExclusion =
                excludedMillis + 2 * times.nodeMillis() + times.unresponsiveAgentMillis();
        return Math.min(end, endAfterExclusion);
    }

    private void detectExclusion(CellState state, Bundle bundle, long nowMillis) {
        VmId oldLeader = state.getPreviousLeader();
        if (excludedLeader == null
                && oldLeader != null
                && LocalAgentLease.hasLostMajority(oldLeader, listVms(bundle), agents)) {
            excludedLeader = oldLeader;
            excludedMillis = nowMillis;
        }
    }

    private boolean mayGrantOwnLease(CellState state, Bundle bundle, long nowMillis) {
        return LocalAgentLease.isAllowed(
                nowMillis - confirmedMillis,
                state.getLeader(),
                epoch,
                listVms(bundle),
                agents,
                times,
                nowMillis);
    }

    private List<VmId> listVms(Bundle bundle) {
        if (bundle == null) {
            return List.of();
        }
        return bundle.findCell(planner.getCell())
                .map(cell -> cell.workers().stream().map(WorkerSpecification::vm).toList())
                .orElse(List.of());
    }

    private List<Assignment> createAssignments(VmId vm, CellState state, Bundle bundle) {
        List<Assignment> result = new ArrayList<>();
        for (TaskState task : state.getTasks()) {
            boolean assignedHere = task.isAssigned() && task.worker().equals(vm);
            if (assignedHere && CellPlanner.isManaged(bundle, task.task())) {
                // An abandoned attempt may only be stopped until the folded state shows its end. If
                // it was stopped before its start, neither agent nor worker would reject a start.
                // While it stays in the list, the agent continues to remember how it ended.
                boolean abandoned = pendingEnds.containsKey(task.task());
                result.add(planner.createAssignment(task, bundle, abandoned));
            }
        }
        return result;
    }

    private StandlinkException notLeading() {
        return new StandlinkException(
                ErrorCode.LEASE_LAPSED,
                "not the leader under epoch " + epoch,
                "read the log to learn who leads the cell");
    }
}
