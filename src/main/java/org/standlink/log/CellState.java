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
package org.standlink.log;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.standlink.Attempt;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * The state of one cell, folded from the log: who leads, and where each task stands.
 *
 * <p>{@code CellState} is mutable and not thread-safe; its owner guards it.
 */
public final class CellState {

    /** The cell. */
    private final CellId cell;

    /** The tasks that were ever assigned or cancelled. */
    private final Map<TaskId, TaskState> tasks = new TreeMap<>();

    /**
     * The highest attempt of all tasks that were dropped; new tasks go on from there, so that a job
     * that is removed and added again never repeats an attempt.
     */
    private Attempt floor = Attempt.NONE;

    /** The epoch in force. */
    private Epoch epoch = Epoch.NONE;

    /** The sequence of the last valid append of the epoch, 0 if none. */
    private long sequence;

    /** The leader, null if none. */
    private VmId leader;

    /** The leader before this one, null if none or not known. */
    private VmId previousLeader;

    /** The run of the leader, null if none. */
    private Incarnation incarnation;

    /**
     * Constructor.
     *
     * @param cell the cell
     */
    public CellState(CellId cell) {
        this.cell = cell;
    }

    // -----------------------------------------------------------------------
    /**
     * Applies a claim, if its epoch is the next one.
     *
     * @param claim the claim
     * @return true if the claim holds
     */
    public boolean apply(ClaimRecord claim) {
        if (!claim.cell().equals(cell) || !claim.epoch().equals(epoch.next())) {
            return false;
        }
        previousLeader = leader;
        epoch = claim.epoch();
        sequence = 0;
        leader = claim.leader();
        incarnation = claim.incarnation();
        return true;
    }

    /**
     * Applies task events, if they are of the epoch in force.
     *
     * @param record the events
     * @return true if the record is not void
     */
    public boolean apply(BundleTaskRecord record) {
        if (!record.cell().equals(cell)
                || !record.epoch().equals(epoch)
                || record.sequence() <= sequence) {
            return false;
        }
        sequence = record.sequence();
        for (TaskEvent event : record.events()) {
            tasks.put(event.task(), getTask(event.task()).apply(event));
        }
        return true;
    }

    /**
     * Takes over a snapshot's state.
     *
     * @param snapshot a snapshot of this cell
     */
    public void load(SnapshotRecord snapshot) {
        previousLeader = null;
        epoch = snapshot.epoch();
        sequence = snapshot.sequence();
        leader = snapshot.leader();
        incarnation = snapshot.incarnation();
        floor = snapshot.floor();
        tasks.clear();
        snapshot.tasks().forEach(state -> tasks.put(state.task(), state));
    }

    /**
     * Drops the tasks of jobs that are gone, but for those that may still be running.
     *
     * @param isPresent tells whether a job is in the bundle in force
     */
    public void prune(Predicate<JobId> isPresent) {
        for (TaskState state : List.copyOf(tasks.values())) {
            if (!state.isAssigned() && !isPresent.test(state.task().getJob())) {
                tasks.remove(state.task());
                floor = state.attempt().isAfter(floor) ? state.attempt() : floor;
            }
        }
    }

    /**
     * Makes a snapshot of this state.
     *
     * @param asOf the offset of the last record folded
     * @param signedBundle the signed bundle in force, null to leave it out
     * @return the snapshot
     */
    public SnapshotRecord createSnapshot(long asOf, String signedBundle) {
        return new SnapshotRecord(
                RecordCodec.newId(),
                asOf,
                signedBundle,
                cell,
                epoch,
                sequence,
                leader,
                incarnation,
                floor,
                List.copyOf(tasks.values()));
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the state of a task.
     *
     * @param task the task
     * @return its state, new if the log never named it
     */
    public TaskState getTask(TaskId task) {
        TaskState state = tasks.get(task);
        return state == null ? TaskState.ofNew(task, floor) : state;
    }

    /**
     * Gets the tasks that the log has named.
     *
     * @return the states in the order of their ids
     */
    public Collection<TaskState> getTasks() {
        return tasks.values();
    }

    /**
     * Gets the cell.
     *
     * @return the cell
     */
    public CellId getCell() {
        return cell;
    }

    /**
     * Gets the epoch in force.
     *
     * @return the epoch, NONE if there was no claim
     */
    public Epoch getEpoch() {
        return epoch;
    }

    /**
     * Gets the sequence of the last valid append of the epoch.
     *
     * @return the sequence, 0 if none
     */
    public long getSequence() {
        return sequence;
    }

    /**
     * Gets the leader.
     *
     * @return the leader's VM, null if there was no claim
     */
    public VmId getLeader() {
        return leader;
    }

    /**
     * Gets the leader before this one.
     *
     * @return its VM, null if there was none or it is not known
     */
    public VmId getPreviousLeader() {
        return previousLeader;
    }

    /**
     * Gets the run of the leader.
     *
     * @return the incarnation, null if there was no claim
     */
    public Incarnation getIncarnation() {
        return incarnation;
    }
}
