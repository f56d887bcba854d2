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
import java.util.LinkedHashMap;
import java.util.Map;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.wire.MessageChannel;

/**
 * What the leader knows of one life of a worker.
 *
 * <p>{@code WorkerEntry} is mutable and not thread-safe; the leader's loop owns it.
 */
final class WorkerEntry {

    /** The life of the worker. */
    private final WorkerIncarnation life;

    /** Where it takes calls, host and port; empty if not known. */
    private String address = "";

    /** The tasks whose last run may be there. */
    private final Map<TaskName, TaskEntry> tasks = new LinkedHashMap<>();

    /** How often these have changed. */
    private long taskChanges;

    /** What the worker said of itself, null until an agent has told. */
    private WorkerDescription description;

    /** The connection to its agent, null if there is none. */
    private MessageChannel connection;

    /** The run of its agent, null until one has told of it. */
    private Incarnation agent;

    /** The generation of lease under which the agent knows all orders, the first if it does not. */
    private LeaseGeneration toldGeneration = LeaseGeneration.NONE;

    /** Until when its runs may go on without its agent, on the leader's clock. */
    private long mayRunUntil;

    /** When its agent was heard last, on the leader's clock. */
    private long heardAt;

    /** Whether the worker answered its agent's last call. */
    private boolean reachable;

    /** How far its ends have been handled and recorded. */
    private final RunEndTracker ends = new RunEndTracker();

    /** What its tasks ask for. */
    private final WorkerLoad load = new WorkerLoad();

    /** What it reported of its runs' figures. */
    private final WorkerMetrics figures = new WorkerMetrics();

    /** How well runs end there. */
    private final RunOutcomeHealth health = new RunOutcomeHealth();

    /** The generation of lease that bars all orders of this life; null while it lasts. */
    private LeaseGeneration barredBy;

    /**
     * Constructor.
     *
     * @param life the life of the worker
     * @param mayRunUntil until when its runs may go on without its agent, on the leader's clock
     */
    WorkerEntry(WorkerIncarnation life, long mayRunUntil) {
        this.life = life;
        this.mayRunUntil = mayRunUntil;
    }

    // -----------------------------------------------------------------------
    /**
     * Takes note of a report of its agent.
     *
     * @param told what the worker said of itself
     * @param from the connection to the agent
     * @param answers whether the worker answered its agent's last call
     * @param now the time on the leader's clock
     */
    void receiveReport(WorkerDescription told, MessageChannel from, boolean answers, long now) {
        if (from != connection) {
            connection = from;
            toldGeneration = LeaseGeneration.NONE;
        }
        description = told;
        address = told.address();
        reachable = answers;
        heardAt = now;
    }

    /**
     * Prolongs the time for which its runs may go on.
     *
     * @param until the time on the leader's clock
     */
    void extendLease(long until) {
        mayRunUntil = Math.max(mayRunUntil, until);
    }

    /**
     * Takes note that a task's last run may be here.
     *
     * @param task the task
     */
    void addTask(TaskEntry task) {
        if (tasks.put(task.getName(), task) == null) {
            count(task, 1);
        }
    }

    /**
     * Takes note that a task's last run is not here any more.
     *
     * @param task the task
     */
    void removeTask(TaskEntry task) {
        if (tasks.remove(task.getName()) != null) {
            count(task, -1);
        }
    }

    private void count(TaskEntry task, int sign) {
        taskChanges++;
        load.adjust(task.getStep(), sign);
    }

    /**
     * Gets how often the tasks there have changed.
     *
     * @return the number, which rises
     */
    long getTaskVersion() {
        return taskChanges;
    }

    /**
     * Works out what is free.
     *
     * @return the free room; may be negative in parts on a worker that does not guard its room
     */
    Resources getFreeCapacity() {
        return description.capacity().minus(load.getOccupied());
    }

    /**
     * Gets what its tasks ask for.
     *
     * @return the load, which changes with the tasks
     */
    WorkerLoad getLoad() {
        return load;
    }

    /**
     * Counts the tasks of a step and repetition.
     *
     * @param name names a task of the step
     * @return how many of them may be here
     */
    long countTasksOfStep(TaskName name) {
        return tasks.keySet().stream().filter(name::isOfSameStep).count();
    }

    // -----------------------------------------------------------------------
    /**
     * Gets what it reported of its runs' figures.
     *
     * @return the figures, which change with each report
     */
    WorkerMetrics getMetrics() {
        return figures;
    }

    /**
     * Gets the life of the worker.
     *
     * @return the life
     */
    WorkerIncarnation getIncarnation() {
        return life;
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
     * Gets where the worker takes calls.
     *
     * @return host and port, empty if not known
     */
    String getAddress() {
        return address;
    }

    /**
     * Takes over where the worker takes calls.
     *
     * @param kept host and port
     */
    void restoreAddress(String kept) {
        address = kept;
    }

    /**
     * Gets what the worker said of itself.
     *
     * @return the description, null until an agent has told
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
     * Gets the run of its agent.
     *
     * @return the run, null until one has told of it
     */
    Incarnation getAgent() {
        return agent;
    }

    /**
     * Sets the run of its agent.
     *
     * @param present the run
     */
    void setAgent(Incarnation present) {
        agent = present;
    }

    /**
     * Gets the generation of lease under which the agent knows all orders.
     *
     * @return the generation, the one before the first if it does not
     */
    LeaseGeneration getSyncedGeneration() {
        return toldGeneration;
    }

    /**
     * Sets the generation of lease under which the agent knows all orders.
     *
     * @param generation the generation, the one before the first if it does not
     */
    void setSyncedGeneration(LeaseGeneration generation) {
        toldGeneration = generation;
    }

    /**
     * Gets until when its runs may go on without its agent.
     *
     * @return the time on the leader's clock
     */
    long getLeaseExpiryMillis() {
        return mayRunUntil;
    }

    /**
     * Gets when its agent was heard last.
     *
     * @return the time on the leader's clock
     */
    long getLastReportMillis() {
        return heardAt;
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
     * @return the numbers, which change
     */
    RunEndTracker getEnds() {
        return ends;
    }

    /**
     * Gets how well runs end there.
     *
     * @return the health, which changes
     */
    RunOutcomeHealth getHealth() {
        return health;
    }

    /**
     * Takes note that this life is over, and that another one of the worker follows it. What ran
     * here stays placed until the lists of that life tell what became of it.
     *
     * @param generation the generation of lease from which on all orders of this life are refused
     */
    void markEnded(LeaseGeneration generation) {
        barredBy = generation;
        reachable = false;
    }

    /**
     * Gets the generation of lease from which on all orders of this life are refused.
     *
     * @return the generation, null while this life lasts as far as is known
     */
    LeaseGeneration getFenceGeneration() {
        return barredBy;
    }

    /**
     * Checks whether this life is known to be over, while its runs are still placed here.
     *
     * @return true if so
     */
    boolean isEnded() {
        return barredBy != null;
    }
}
