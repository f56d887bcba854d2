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
 * The state of one cell as folded from the log: its leader and the state of each task.
 *
 * <p>{@code CellState} is mutable and not thread-safe; its owner guards it.
 */
public final class CellState {

    private final CellId cell;

    /** The tasks that have ever been assigned or cancelled. */
    private final Map<TaskId, TaskState> tasks = new TreeMap<>();

    /**
     * The highest attempt of all tasks that were removed. New tasks continue from it, so that a job
     * that is removed and added again never repeats an attempt.
     */
    private Attempt attemptFloor = Attempt.NONE;

    private Epoch epoch = Epoch.NONE;

    /** The sequence number of the last valid append of the epoch; 0 if there is none. */
    private long sequence;

    /** The leader; null if there is none. */
    private VmId leader;

    /** The previous leader; null if there was none or it is unknown. */
    private VmId previousLeader;

    /** The incarnation of the leader's process; null if there is no leader. */
    private Incarnation incarnation;

    /**
     * Creates the state of a cell without a leader or tasks.
     *
     * @param cell the cell
     */
    public CellState(CellId cell) {
        this.cell = cell;
    }

    // -----------------------------------------------------------------------
    /**
     * Applies a claim if its epoch follows the current one.
     *
     * @param claim the claim
     * @return true if the claim is valid
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
     * Applies task events if they are of the current epoch and their sequence number is above that
     * of the last valid append.
     *
     * @param record the events
     * @return true if the events were applied
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
     * Replaces the state by that of a snapshot.
     *
     * @param snapshot a snapshot of this cell
     */
    public void load(SnapshotRecord snapshot) {
        previousLeader = null;
        epoch = snapshot.epoch();
        sequence = snapshot.sequence();
        leader = snapshot.leader();
        incarnation = snapshot.incarnation();
        attemptFloor = snapshot.floor();
        tasks.clear();
        snapshot.tasks().forEach(state -> tasks.put(state.task(), state));
    }

    /**
     * Removes the tasks of jobs that no longer exist, except for tasks that may still be running.
     *
     * @param isPresent checks whether a job is in the bundle in force
     */
    public void prune(Predicate<JobId> isPresent) {
        for (TaskState state : List.copyOf(tasks.values())) {
            if (!state.isAssigned() && !isPresent.test(state.task().getJob())) {
                tasks.remove(state.task());
                attemptFloor =
                        state.attempt().isAfter(attemptFloor) ? state.attempt() : attemptFloor;
            }
        }
    }

    /**
     * Creates a snapshot of this state.
     *
     * @param asOf the offset of the last record that was folded
     * @param signedBundle the text of the signed bundle in force, null to omit it
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
                attemptFloor,
                List.copyOf(tasks.values()));
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the state of a task.
     *
     * @param task the task
     * @return its state; that of a new task if the log has never named it
     */
    public TaskState getTask(TaskId task) {
        TaskState state = tasks.get(task);
        return state == null ? TaskState.ofNew(task, attemptFloor) : state;
    }

    /**
     * Gets the tasks that the log has named.
     *
     * @return the states in the order of the task identifiers
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
     * @return the epoch; NONE if there has been no claim
     */
    public Epoch getEpoch() {
        return epoch;
    }

    /**
     * Gets the sequence number of the last valid append of the epoch.
     *
     * @return the sequence number; 0 if there is none
     */
    public long getSequence() {
        return sequence;
    }

    /**
     * Gets the leader.
     *
     * @return the VM of the leader; null if there has been no claim
     */
    public VmId getLeader() {
        return leader;
    }

    /**
     * Gets the previous leader.
     *
     * @return its VM; null if there was none or it is unknown
     */
    public VmId getPreviousLeader() {
        return previousLeader;
    }

    /**
     * Gets the incarnation of the leader's process.
     *
     * @return the incarnation; null if there has been no claim
     */
    public Incarnation getIncarnation() {
        return incarnation;
    }
}
