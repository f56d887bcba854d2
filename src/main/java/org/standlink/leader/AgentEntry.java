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

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.TaskId;
import org.standlink.wire.Assignment;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.TaskReport;

/**
 * The leader's state of one agent.
 *
 * <p>{@code AgentEntry} is mutable and not thread-safe; {@link LeaderService} synchronises access.
 */
final class AgentEntry {

    /** The incarnation of the agent, null until its first heartbeat. */
    private Incarnation incarnation;

    /** The generation of the agent's node lease. */
    private LeaseGeneration generation = LeaseGeneration.NONE;

    /** When the agent was last granted a node lease, in milliseconds. */
    private long grantedMillis;

    /** A time after which the last heartbeat was certainly sent, in milliseconds. */
    private long sentAfterMillis = Long.MIN_VALUE;

    /** The last heartbeat, null until the first one. */
    private Heartbeat lastHeartbeat;

    /**
     * Whether the agent has acknowledged the epoch of this leader, so that it rejects older ones.
     */
    private boolean acknowledged;

    /** Whether the agent's leases have expired without a heartbeat. */
    private boolean lost;

    /** The revision of the assignments, 0 until they are first set. */
    private long revision;

    /** The assignments that the agent is to have. */
    private List<Assignment> assignments = List.of();

    /** The last report of each task. */
    private final Map<TaskId, TaskReport> reports = new HashMap<>();

    /**
     * Records a heartbeat that will be answered with a lease.
     *
     * @param heartbeat the heartbeat
     * @param epoch the epoch of this leader
     * @param nowMillis the time, in milliseconds
     */
    void receiveHeartbeat(Heartbeat heartbeat, Epoch epoch, long nowMillis) {
        if (!heartbeat.incarnation().equals(incarnation)) {
            incarnation = heartbeat.incarnation();
            generation = generation.next();
        }
        acknowledged |= heartbeat.epoch().equals(epoch);
        // A heartbeat that omits what the previous one reported was sent after the answer to the
        // previous one arrived. Otherwise its sending time is unknown, as it may have been delayed.
        if (!heartbeat.full()) {
            sentAfterMillis = grantedMillis;
        }
        lastHeartbeat = heartbeat;
        grantedMillis = nowMillis;
        lost = false;
        if (heartbeat.full()) {
            reports.clear();
        }
        heartbeat.gone().forEach(reports::remove);
        heartbeat.tasks().forEach(report -> reports.put(report.task(), report));
    }

    /**
     * Checks whether a heartbeat continues the last one or is complete.
     *
     * @param heartbeat the heartbeat
     * @return false if it is older than the last one or omits reports that are not known here
     */
    boolean isAcceptable(Heartbeat heartbeat) {
        boolean sameIncarnation = heartbeat.incarnation().equals(incarnation);
        if (sameIncarnation && heartbeat.number() <= lastHeartbeat.number()) {
            return false;
        }
        return heartbeat.full()
                || sameIncarnation && !lost && heartbeat.number() == lastHeartbeat.number() + 1;
    }

    /**
     * Checks whether attempts may be ended on the basis of the reports, as they describe work under
     * the current node lease and a valid worker lease. A heartbeat of an earlier incarnation, or
     * one sent before the leases expired, names another generation.
     *
     * @param epoch the epoch of this leader
     * @return true if the reports are current
     */
    boolean isReportCurrent(Epoch epoch) {
        return lastHeartbeat.epoch().equals(epoch)
                && lastHeartbeat.generation().equals(generation)
                && lastHeartbeat.workerReady();
    }

    /**
     * Gets the reports, of which the last heartbeat may contain only the changes.
     *
     * @return the last report of each task
     */
    Collection<TaskReport> getReports() {
        return reports.values();
    }

    /**
     * Marks the agent as lost, because its leases have expired without a heartbeat; starts ordered
     * under the former generation are superseded.
     */
    void markLost() {
        if (!lost) {
            lost = true;
            generation = generation.next();
            reports.clear();
        }
    }

    /**
     * Sets the assignments that the agent is to have, under a new revision if they have changed.
     *
     * @param newAssignments the assignments
     * @param firstRevision the revision to use for the first list of this leader
     */
    void updateAssignments(List<Assignment> newAssignments, long firstRevision) {
        if (revision == 0 || !newAssignments.equals(assignments)) {
            revision = Math.max(firstRevision, revision + 1);
            assignments = newAssignments;
        }
    }

    // -----------------------------------------------------------------------
    boolean hasReported() {
        return lastHeartbeat != null;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    boolean isLost() {
        return lost;
    }

    Heartbeat getLastHeartbeat() {
        return lastHeartbeat;
    }

    long getGrantedMillis() {
        return grantedMillis;
    }

    /**
     * Checks whether the agent certainly followed this leader within a period up to now.
     *
     * @param epoch the epoch of this leader
     * @param periodMillis the length of the period, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return true if its last heartbeat names the epoch and was sent within the period
     */
    boolean hasFollowedWithin(Epoch epoch, long periodMillis, long nowMillis) {
        return lastHeartbeat.epoch().equals(epoch) && sentAfterMillis > nowMillis - periodMillis;
    }

    LeaseGeneration getGeneration() {
        return generation;
    }

    long getRevision() {
        return revision;
    }

    List<Assignment> getAssignments() {
        return assignments;
    }

    TaskReport getReport(TaskId task) {
        return reports.get(task);
    }
}
