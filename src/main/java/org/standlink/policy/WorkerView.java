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
 * The state of one worker during a planning round.
 *
 * <p>{@code WorkerView} is mutable and not thread-safe; each planning round creates its own.
 */
public final class WorkerView {

    private final VmId vm;
    private final HallId hall;
    private final RackId rack;
    private final Resources capacity;
    private final List<ServiceLoad> services;
    private final boolean usable;

    /** The batch classes of the tasks on the worker, one entry per task. */
    private final List<String> batchClasses = new ArrayList<>();

    /** The capacity without the resources reserved for services. */
    private final Resources allocatable;

    /** The allocatable resources that are not granted to tasks. */
    private Resources free;

    /** The number of tasks waiting on the worker for free capacity. */
    private int backlog;

    /** The expected tail latency of each service, null if it must be computed again. */
    private double[] expectedLatencies;

    /**
     * Creates a worker without tasks.
     *
     * @param vm the VM
     * @param hall its hall
     * @param rack its rack
     * @param capacity the resources of the VM
     * @param reserved the resources reserved for services
     * @param services the services on the VM with their load
     * @param usable whether tasks may be assigned to the worker
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
        this.allocatable = capacity.minus(reserved);
        this.free = allocatable;
        this.services = List.copyOf(services);
        this.usable = usable;
    }

    // -----------------------------------------------------------------------
    /**
     * Adds a task.
     *
     * @param batchClass the class of the task
     * @param granted the resources granted to it
     */
    public void addTask(String batchClass, Resources granted) {
        free = free.minus(granted);
        batchClasses.add(batchClass);
        expectedLatencies = null;
    }

    /**
     * Gets the expected tail latency of a service with the present tasks. The estimate is cached
     * until the tasks change.
     *
     * @param index the index of the service
     * @param model the model, which must be the same during a planning round
     * @return the tail latency, in percent of the target
     */
    double getExpectedLatency(int index, InterferenceModel model) {
        if (expectedLatencies == null) {
            expectedLatencies = new double[services.size()];
            for (int i = 0; i < expectedLatencies.length; i++) {
                expectedLatencies[i] = model.estimate(services.get(i), batchClasses);
            }
        }
        return expectedLatencies[index];
    }

    /** Adds a task that waits on the worker for free capacity. */
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
     * Gets the resources of the VM.
     *
     * @return the capacity
     */
    public Resources getCapacity() {
        return capacity;
    }

    /**
     * Gets the capacity without the resources reserved for services.
     *
     * @return the resources that can be granted to tasks
     */
    public Resources getAllocatable() {
        return allocatable;
    }

    /**
     * Gets the allocatable resources that are not granted to tasks.
     *
     * @return the free capacity, which may have negative components after a change of services
     */
    public Resources getFree() {
        return free;
    }

    /**
     * Gets the services on the VM.
     *
     * @return the services with their load levels
     */
    public List<ServiceLoad> getServices() {
        return services;
    }

    /**
     * Gets the batch classes of the tasks on the worker.
     *
     * @return the batch classes, one entry per task
     */
    public List<String> getBatchClasses() {
        return batchClasses;
    }

    /**
     * Checks whether tasks may be assigned to the worker.
     *
     * @return true if tasks may be assigned
     */
    public boolean isUsable() {
        return usable;
    }

    /**
     * Gets the number of tasks that wait on the worker for free capacity.
     *
     * @return the number of tasks
     */
    public int getBacklog() {
        return backlog;
    }
}
