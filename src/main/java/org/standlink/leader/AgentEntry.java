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
 * What a leader knows of one agent.
 *
 * <p>{@code AgentEntry} is mutable and not thread-safe; its leader guards it.
 */
final class AgentEntry {

    /** The run of the agent, null until heard. */
    private Incarnation incarnation;

    /** The generation of its node lease. */
    private LeaseGeneration generation = LeaseGeneration.NONE;

    /** When it was last granted a lease, in milliseconds. */
    private long grantedMillis;

    /** A time after which the last heartbeat was surely sent, in milliseconds. */
    private long sentAfterMillis = Long.MIN_VALUE;

    /** The last heartbeat, null until heard. */
    private Heartbeat last;

    /** Whether it has acknowledged the epoch of this leader, so that it refuses older ones. */
    private boolean acknowledged;

    /** Whether it has been silent past its leases. */
    private boolean lost;

    /** The revision of the assignments last sent. */
    private long revision;

    /** The assignments last sent. */
    private List<Assignment> assignments = List.of();

    /** The last report of each task. */
    private final Map<TaskId, TaskReport> reports = new HashMap<>();

    /**
     * Notes a heartbeat that will be answered with a lease.
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
        // One that leaves out what the last one told was sent after the last one's answer was had.
        // Nothing else is known of when it was sent: it may have been on its way for long.
        if (!heartbeat.full()) {
            sentAfterMillis = grantedMillis;
        }
        last = heartbeat;
        grantedMillis = nowMillis;
        lost = false;
        if (heartbeat.full()) {
            reports.clear();
        }
        heartbeat.gone().forEach(reports::remove);
        heartbeat.tasks().forEach(report -> reports.put(report.task(), report));
    }

    /**
     * Checks whether a heartbeat can be taken: it goes on from the last one, or tells everything.
     *
     * @param heartbeat the heartbeat
     * @return false if it is older than the last one or leaves out what is not known here
     */
    boolean isAcceptable(Heartbeat heartbeat) {
        boolean sameRun = heartbeat.incarnation().equals(incarnation);
        if (sameRun && heartbeat.number() <= last.number()) {
            return false;
        }
        return heartbeat.full() || sameRun && !lost && heartbeat.number() == last.number() + 1;
    }

    /**
     * Checks whether the reports can be believed to end attempts: they tell of work under the lease
     * in force, carried out with a live worker lease. A heartbeat of an earlier run, or from before
     * a silence, names another generation, as it was given none since.
     *
     * @param epoch the epoch of this leader
     * @return true if so
     */
    boolean isReportCurrent(Epoch epoch) {
        return last.epoch().equals(epoch)
                && last.generation().equals(generation)
                && last.workerReady();
    }

    /**
     * Gets the reports, which the last heartbeat alone does not tell.
     *
     * @return the last report of each task
     */
    Collection<TaskReport> getReports() {
        return reports.values();
    }

    /** Notes that the agent was silent past its leases; its old starts are void from now. */
    void markLost() {
        if (!lost) {
            lost = true;
            generation = generation.next();
            reports.clear();
        }
    }

    /**
     * Notes the assignments that it shall have.
     *
     * @param wanted the assignments
     * @param firstRevision the revision to use for the first list of this leader
     */
    void updateAssignments(List<Assignment> wanted, long firstRevision) {
        if (revision == 0 || !wanted.equals(assignments)) {
            revision = Math.max(firstRevision, revision + 1);
            assignments = wanted;
        }
    }

    // -----------------------------------------------------------------------
    boolean hasReported() {
        return last != null;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    boolean isLost() {
        return lost;
    }

    Heartbeat getLastHeartbeat() {
        return last;
    }

    long getGrantedMillis() {
        return grantedMillis;
    }

    /**
     * Checks whether the agent surely followed this leader within a time.
     *
     * @param epoch the epoch of this leader
     * @param spanMillis how long ago at most, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return true if its last heartbeat names the epoch and is not older than that
     */
    boolean hasFollowedWithin(Epoch epoch, long spanMillis, long nowMillis) {
        return last.epoch().equals(epoch) && sentAfterMillis > nowMillis - spanMillis;
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
