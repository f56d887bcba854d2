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
package org.standlink.policy;

import java.util.ArrayList;
import java.util.List;
import org.standlink.HallId;
import org.standlink.RackId;
import org.standlink.Resources;
import org.standlink.VmId;

/**
 * What a planner knows of one worker while it plans.
 *
 * <p>{@code WorkerView} is mutable and not thread-safe; each round of planning makes its own.
 */
public final class WorkerView {

    /** The VM. */
    private final VmId vm;

    /** Its hall. */
    private final HallId hall;

    /** Its rack. */
    private final RackId rack;

    /** What the VM has. */
    private final Resources capacity;

    /** The services on the VM with their load. */
    private final List<ServiceLoad> services;

    /** Whether new work may go there. */
    private final boolean usable;

    /** The classes of the tasks there. */
    private final List<String> classes = new ArrayList<>();

    /** What services leave for tasks. */
    private final Resources room;

    /** What is not granted yet. */
    private Resources free;

    /** Tasks that wait there for room. */
    private int backlog;

    /** The latencies expected of the services, null if not known. */
    private double[] expected;

    /**
     * Constructor.
     *
     * @param vm the VM
     * @param hall its hall
     * @param rack its rack
     * @param capacity what the VM has
     * @param reserved what services take of it
     * @param services the services on the VM with their load
     * @param usable whether new work may go there
     */
    public WorkerView(
            VmId vm,
            HallId hall,
            RackId rack,
            Resources capacity,
            Resources reserved,
            List<ServiceLoad> services,
            boolean usable) {
        this.vm = vm;
        this.hall = hall;
        this.rack = rack;
        this.capacity = capacity;
        this.room = capacity.minus(reserved);
        this.free = room;
        this.services = List.copyOf(services);
        this.usable = usable;
    }

    // -----------------------------------------------------------------------
    /**
     * Notes a task there.
     *
     * @param batchClass its class
     * @param granted what it is granted
     */
    public void addTask(String batchClass, Resources granted) {
        free = free.minus(granted);
        classes.add(batchClass);
        expected = null;
    }

    /**
     * Gets the latency expected of a service with the tasks there, computed once until they change.
     *
     * @param index the index of the service
     * @param model estimates it; the same model must be used during a round of planning
     * @return the tail latency, in percent of the target
     */
    double getExpectedLatency(int index, InterferenceModel model) {
        if (expected == null) {
            expected = new double[services.size()];
            for (int i = 0; i < expected.length; i++) {
                expected[i] = model.estimate(services.get(i), classes);
            }
        }
        return expected[index];
    }

    /** Notes a task that waits there for room. */
    public void addQueued() {
        backlog++;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the VM.
     *
     * @return the VM
     */
    public VmId getVm() {
        return vm;
    }

    /**
     * Gets the hall.
     *
     * @return the hall
     */
    public HallId getHall() {
        return hall;
    }

    /**
     * Gets the rack.
     *
     * @return the rack
     */
    public RackId getRack() {
        return rack;
    }

    /**
     * Gets what the VM has.
     *
     * @return the capacity
     */
    public Resources getCapacity() {
        return capacity;
    }

    /**
     * Gets what services leave for tasks.
     *
     * @return the room when no task is there
     */
    public Resources getAllocatable() {
        return room;
    }

    /**
     * Gets what is not granted yet.
     *
     * @return the room, which may be negative in parts after a change of services
     */
    public Resources getFree() {
        return free;
    }

    /**
     * Gets the services on the VM.
     *
     * @return the services with their load
     */
    public List<ServiceLoad> getServices() {
        return services;
    }

    /**
     * Gets the classes of the tasks there.
     *
     * @return one entry for each task
     */
    public List<String> getBatchClasses() {
        return classes;
    }

    /**
     * Checks whether new work may go there.
     *
     * @return true if it may
     */
    public boolean isUsable() {
        return usable;
    }

    /**
     * Gets the number of tasks that wait there for room.
     *
     * @return the number
     */
    public int getBacklog() {
        return backlog;
    }
}
