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
package org.standlink.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.wire.MessageChannel;

/**
 * The leader's state of one incarnation of a worker.
 *
 * <p>{@code WorkerEntry} is mutable and not thread-safe; it is confined to the leader's event loop.
 */
final class WorkerEntry {

    private final WorkerIncarnation incarnation;

    /** The address at which it accepts calls, host and port; empty if not known. */
    private String address = "";

    /** The tasks whose last run may be there. */
    private final Map<TaskName, TaskEntry> tasks = new LinkedHashMap<>();

    /** The number of changes of these tasks. */
    private long taskVersion;

    /** How the worker describes itself, null until an agent has reported it. */
    private WorkerDescription description;

    /** The connection to its agent, null if there is none. */
    private MessageChannel connection;

    /** The incarnation of its agent, null until one has reported the worker. */
    private Incarnation agent;

    /**
     * The lease generation under which the agent was sent all orders, {@link LeaseGeneration#NONE}
     * if it was not.
     */
    private LeaseGeneration syncedGeneration = LeaseGeneration.NONE;

    /**
     * When its lease expires, on the leader's clock; its runs may continue without the agent until
     * then.
     */
    private long leaseExpiryMillis;

    /** When the last report of its agent arrived, on the leader's clock. */
    private long lastReportMillis;

    /** Whether the worker answered its agent's last call. */
    private boolean reachable;

    /** The runs that stayed assigned after the end of the lease. */
    private final Set<RunId> retainedRuns = new HashSet<>();

    private final RunEndTracker ends = new RunEndTracker();

    private final WorkerLoad load = new WorkerLoad();

    private final WorkerMetrics metrics = new WorkerMetrics();

    private final RunOutcomeHealth health = new RunOutcomeHealth();

    /**
     * The lease generation from which on orders for this incarnation are refused; null if it has
     * not ended.
     */
    private LeaseGeneration fenceGeneration;

    /**
     * Creates an entry for an incarnation of a worker.
     *
     * @param leaseExpiryMillis when its lease expires, on the leader's clock
     */
    WorkerEntry(WorkerIncarnation incarnation, long leaseExpiryMillis) {
        this.incarnation = incarnation;
        this.leaseExpiryMillis = leaseExpiryMillis;
    }

    // -----------------------------------------------------------------------
    /**
     * Records a report of its agent.
     *
     * @param reported how the worker describes itself
     * @param from the connection to the agent
     * @param answered whether the worker answered its agent's last call
     * @param now the time on the leader's clock
     */
    void receiveReport(
            WorkerDescription reported, MessageChannel from, boolean answered, long now) {
        if (from != connection) {
            connection = from;
            syncedGeneration = LeaseGeneration.NONE;
        }
        description = reported;
        address = reported.address();
        reachable = answered;
        lastReportMillis = now;
    }

    /**
     * Extends its lease.
     *
     * @param expiryMillis when the lease expires, on the leader's clock; ignored if it is earlier
     *     than the present expiry
     */
    void extendLease(long expiryMillis) {
        leaseExpiryMillis = Math.max(leaseExpiryMillis, expiryMillis);
    }

    /**
     * Records that a task's last run may be there.
     *
     * @param task the task
     */
    void addTask(TaskEntry task) {
        if (tasks.put(task.getName(), task) == null) {
            adjustLoad(task, 1);
        }
    }

    /**
     * Records that a task's last run is not there any more.
     *
     * @param task the task
     */
    void removeTask(TaskEntry task) {
        if (tasks.remove(task.getName()) != null) {
            adjustLoad(task, -1);
        }
    }

    private void adjustLoad(TaskEntry task, int sign) {
        taskVersion++;
        load.adjust(task.getStep(), sign);
    }

    /**
     * Gets a version of its tasks.
     *
     * @return the version, which increases with each change of the tasks
     */
    long getTaskVersion() {
        return taskVersion;
    }

    /**
     * Calculates the free capacity.
     *
     * @return the free capacity; may be negative in parts on a worker that does not enforce its
     *     capacity
     */
    Resources getFreeCapacity() {
        return description.capacity().minus(load.getOccupied());
    }

    /**
     * Gets the resources that its tasks request.
     *
     * @return the load, which changes with the tasks
     */
    WorkerLoad getLoad() {
        return load;
    }

    /**
     * Counts the tasks of a step and repetition.
     *
     * @param name the name of a task of the step
     * @return how many of its tasks may be there
     */
    long countTasksOfStep(TaskName name) {
        return tasks.keySet().stream().filter(name::isOfSameStep).count();
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the reported metrics of its runs.
     *
     * @return the metrics, which change with each report
     */
    WorkerMetrics getMetrics() {
        return metrics;
    }

    WorkerIncarnation getIncarnation() {
        return incarnation;
    }

    /**
     * Finds a task whose last run may be there.
     *
     * @param name the name
     * @return the task, null if it is not there
     */
    TaskEntry findTask(TaskName name) {
        return tasks.get(name);
    }

    /**
     * Gets the tasks whose last run may be there.
     *
     * @return the tasks
     */
    Collection<TaskEntry> listTasks() {
        return tasks.values();
    }

    /**
     * Gets where the worker accepts calls.
     *
     * @return host and port, empty if not known
     */
    String getAddress() {
        return address;
    }

    /**
     * Restores the persisted address.
     *
     * @param restored host and port
     */
    void restoreAddress(String restored) {
        address = restored;
    }

    /**
     * Gets how the worker describes itself.
     *
     * @return the description, null until an agent has reported it
     */
    WorkerDescription getDescription() {
        return description;
    }

    /**
     * Gets the connection to its agent.
     *
     * @return the connection, null if there is none
     */
    MessageChannel getConnection() {
        return connection;
    }

    /**
     * Gets the incarnation of its agent.
     *
     * @return the incarnation, null until an agent has reported the worker
     */
    Incarnation getAgent() {
        return agent;
    }

    /**
     * Sets the incarnation of its agent.
     *
     * @param current the incarnation that reports the worker
     */
    void setAgent(Incarnation current) {
        agent = current;
    }

    /**
     * Records that a run stays assigned after the end of its lease.
     *
     * @param run the run
     * @return false if this has been recorded before
     */
    boolean markRetained(RunId run) {
        return retainedRuns.add(run);
    }

    /**
     * Gets the lease generation under which the agent was sent all orders.
     *
     * @return the generation, {@link LeaseGeneration#NONE} if the agent was not sent all orders
     */
    LeaseGeneration getSyncedGeneration() {
        return syncedGeneration;
    }

    /**
     * Sets the lease generation under which the agent was sent all orders.
     *
     * @param generation the generation
     */
    void setSyncedGeneration(LeaseGeneration generation) {
        syncedGeneration = generation;
    }

    /**
     * Gets when its lease expires; its runs may continue without the agent until then.
     *
     * @return the time on the leader's clock
     */
    long getLeaseExpiryMillis() {
        return leaseExpiryMillis;
    }

    /**
     * Gets when the last report of its agent arrived.
     *
     * @return the time on the leader's clock
     */
    long getLastReportMillis() {
        return lastReportMillis;
    }

    /**
     * Checks whether the worker answered its agent's last call.
     *
     * @return true if so
     */
    boolean isReachable() {
        return reachable;
    }

    /**
     * Gets how far its ends have been handled and recorded.
     *
     * @return the tracker, which changes with the reports
     */
    RunEndTracker getEnds() {
        return ends;
    }

    /**
     * Gets the outcomes of its runs.
     *
     * @return the health, which changes with the outcomes
     */
    RunOutcomeHealth getHealth() {
        return health;
    }

    /**
     * Records that this incarnation has ended and another one of the worker follows it. Its runs
     * stay assigned until that incarnation has listed its own.
     *
     * @param generation the lease generation from which on orders for this incarnation are refused
     */
    void markEnded(LeaseGeneration generation) {
        fenceGeneration = generation;
        reachable = false;
    }

    /**
     * Gets the lease generation from which on orders for this incarnation are refused.
     *
     * @return the generation, null if the incarnation is not known to have ended
     */
    LeaseGeneration getFenceGeneration() {
        return fenceGeneration;
    }

    /**
     * Checks whether this incarnation is known to have ended, although runs are still assigned to
     * it.
     *
     * @return true if so
     */
    boolean isEnded() {
        return fenceGeneration != null;
    }
}
