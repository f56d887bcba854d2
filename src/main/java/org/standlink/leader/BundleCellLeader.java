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
 * The leader of one cell under one epoch: grants node leases and decides which attempts have ended.
 *
 * <p>The leader acts only on what the fold of the log shows. What it has decided but not yet seen
 * in the fold it proposes again and again, and never takes back: an attempt whose end was proposed
 * is not handed to its agent any more, even if the agent comes back or the job is added again
 * first.
 *
 * <p>{@code BundleCellLeader} is mutable and not thread-safe; its owner guards it.
 */
public final class BundleCellLeader {

    /** How far apart the first revisions of two epochs are. */
    private static final long REVISIONS_PER_EPOCH = 1L << 32;

    /** The epoch led under. */
    private final Epoch epoch;

    /** The run of this process. */
    private final Incarnation incarnation;

    /** The lengths of leases. */
    private final LeaseTimes times;

    /** Decides on new work. */
    private final CellPlanner planner;

    /**
     * When the claim had been seen in the log, in milliseconds. The old leader may have confirmed
     * its epoch until the claim landed, which was while it was read at the latest.
     */
    private final long claimedMillis;

    /** When the last read of the log that showed this epoch in force began, in milliseconds. */
    private long confirmedMillis;

    /** The agents. */
    private final Map<VmId, AgentEntry> agents = new TreeMap<>();

    /** The old leader, once it can no longer grant leases to itself; null until then. */
    private VmId excluded;

    /** When that was noted, in milliseconds. */
    private long excludedMillis;

    /** Ends of attempts that the fold does not show yet. */
    private final Map<TaskId, TaskEvent> endings = new HashMap<>();

    /**
     * Constructor.
     *
     * @param epoch the epoch led under
     * @param incarnation the run of this process
     * @param times the lengths of leases
     * @param planner decides on new work
     * @param claimedMillis when the claim had been seen in the log, in milliseconds
     * @param confirmedMillis when the read of the log that showed the claim began, in milliseconds
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
     * Notes a read of the log that showed this epoch in force.
     *
     * @param readStartMillis when the read began, in milliseconds
     */
    public void confirmEpoch(long readStartMillis) {
        confirmedMillis = Math.max(confirmedMillis, readStartMillis);
    }

    /**
     * Checks whether this process may still act as leader.
     *
     * @param state the folded state of the cell
     * @param nowMillis the time, in milliseconds
     * @return true while the epoch is in force as far as known and the authority has not lapsed
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
     * @param signedText its signed text, null if none
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
        if (heartbeat.vm().equals(state.getLeader()) && !mayServeItself(state, bundle, nowMillis)) {
            throw notLeading();
        }
        AgentEntry agent = agents.getOrDefault(heartbeat.vm(), new AgentEntry());
        if (!agent.isAcceptable(heartbeat)) {
            throw new StandlinkException(
                    ErrorCode.INVALID_MESSAGE,
                    "heartbeat " + heartbeat.number() + " does not follow the last one",
                    "tell everything in the next one");
        }
        // Only now: an agent whose heartbeat was refused is as unheard as before.
        agents.put(heartbeat.vm(), agent);
        agent.receiveHeartbeat(heartbeat, epoch, nowMillis);
        if (bundle != null) {
            planner.processHeartbeat(heartbeat, agent.getReports(), state, bundle);
        }
        agent.updateAssignments(
                assignments(heartbeat.vm(), state, bundle),
                epoch.getValue() * REVISIONS_PER_EPOCH + 1);
        boolean newer = bundle != null && bundle.version().isAfter(heartbeat.bundle());
        boolean same = heartbeat.revision() == agent.getRevision();
        return new HeartbeatAnswer(
                epoch,
                agent.getGeneration(),
                times.nodeMillis(),
                bundle == null ? heartbeat.bundle() : bundle.version(),
                newer ? signedText : null,
                agent.getRevision(),
                same ? null : agent.getAssignments(),
                nowMillis - confirmedMillis);
    }

    /**
     * Decides what has ended and what is assigned anew.
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
        dropFolded(state);
        noteExclusion(state, bundle, nowMillis);
        agents.forEach(
                (vm, agent) -> {
                    if (agent.hasReported() && isSilent(vm, agent, nowMillis)) {
                        agent.markLost();
                    }
                });
        for (TaskState task : state.getTasks()) {
            if (task.isAssigned() && !endings.containsKey(task.task())) {
                decideEnd(task, bundle, nowMillis);
            }
        }
        List<TaskEvent> events = new ArrayList<>(endings.values());
        events.addAll(planner.plan(state, bundle, agents, nowMillis));
        return events;
    }

    /**
     * Gets what the leader knows of the agents.
     *
     * @return the records by VM
     */
    Map<VmId, AgentEntry> getAgents() {
        return agents;
    }

    /**
     * Gets the epoch led under.
     *
     * @return the epoch
     */
    public Epoch getEpoch() {
        return epoch;
    }

    /**
     * Gets the planner.
     *
     * @return the planner
     */
    CellPlanner getPlanner() {
        return planner;
    }

    // -----------------------------------------------------------------------
    private void dropFolded(CellState state) {
        endings.values().removeIf(event -> !isPending(event, state));
    }

    private static boolean isPending(TaskEvent event, CellState state) {
        TaskState task = state.get(event.task());
        return task.isAssigned() && task.attempt().equals(event.attempt());
    }

    private void decideEnd(TaskState task, Bundle bundle, long nowMillis) {
        AgentEntry agent = agents.get(task.worker());
        if (agent == null) {
            if (nowMillis >= endOfOldLeases(task.worker())) {
                end(TaskEvent.Kind.RELEASE, task, null);
            }
            return;
        }
        if (agent.isLost()) {
            end(TaskEvent.Kind.RELEASE, task, null);
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
            boolean knows = agent.getLastHeartbeat().revision() == agent.getRevision();
            if (knows && !CellPlanner.isManaged(bundle, task.task())) {
                end(TaskEvent.Kind.RELEASE, task, null);
            }
            return;
        }
        switch (report.state()) {
            case FINISHED -> end(TaskEvent.Kind.FINISH, task, null);
            case FAILED -> fail(task, report.checkpoint(), nowMillis);
            case STOPPED -> end(TaskEvent.Kind.RELEASE, task, report.checkpoint());
            default -> {
                // Queued and running attempts go on.
            }
        }
    }

    private void fail(TaskState task, String checkpoint, long nowMillis) {
        TaskEvent event = end(TaskEvent.Kind.FAIL, task, checkpoint);
        planner.recordFailure(event, task.worker(), nowMillis);
    }

    private TaskEvent end(TaskEvent.Kind kind, TaskState task, String checkpoint) {
        TaskEvent event = TaskEvent.ofEnd(kind, task.task(), task.attempt(), checkpoint);
        endings.put(task.task(), event);
        planner.recordEnd(event, task.worker());
        return event;
    }

    private boolean isSilent(VmId vm, AgentEntry agent, long nowMillis) {
        long end = agent.getGrantedMillis() + times.nodeMillis() + times.unresponsiveAgentMillis();
        // Until it has acknowledged this epoch it may still take leases of the old leader.
        long old = agent.isAcknowledged() ? Long.MIN_VALUE : endOfOldLeases(vm);
        return nowMillis >= Math.max(end, old);
    }

    /** When an agent that has not acknowledged this epoch has surely no tasks running. */
    private long endOfOldLeases(VmId vm) {
        long end = claimedMillis + times.unacknowledgedAgentMillis();
        if (!vm.equals(excluded)) {
            return end;
        }
        long sure = excludedMillis + 2 * times.nodeMillis() + times.unresponsiveAgentMillis();
        return Math.min(end, sure);
    }

    private void noteExclusion(CellState state, Bundle bundle, long nowMillis) {
        VmId old = state.getPreviousLeader();
        if (excluded == null
                && old != null
                && LocalAgentLease.hasLostMajority(old, vms(bundle), agents)) {
            excluded = old;
            excludedMillis = nowMillis;
        }
    }

    private boolean mayServeItself(CellState state, Bundle bundle, long nowMillis) {
        return LocalAgentLease.isAllowed(
                nowMillis - confirmedMillis,
                state.getLeader(),
                epoch,
                vms(bundle),
                agents,
                times,
                nowMillis);
    }

    private List<VmId> vms(Bundle bundle) {
        if (bundle == null) {
            return List.of();
        }
        return bundle.findCell(planner.getCell())
                .map(cell -> cell.workers().stream().map(WorkerSpecification::vm).toList())
                .orElse(List.of());
    }

    private List<Assignment> assignments(VmId vm, CellState state, Bundle bundle) {
        List<Assignment> result = new ArrayList<>();
        for (TaskState task : state.getTasks()) {
            boolean here = task.isAssigned() && task.worker().equals(vm);
            if (here && CellPlanner.isManaged(bundle, task.task())) {
                // Given up, whatever the reason, it may only be stopped until the fold shows its
                // end. Stopped before its start, neither agent nor worker would refuse it; kept in
                // the list, the agent goes on to remember how it ended.
                boolean givenUp = endings.containsKey(task.task());
                result.add(planner.createAssignment(task, bundle, givenUp));
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
