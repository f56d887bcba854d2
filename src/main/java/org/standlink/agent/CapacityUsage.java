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
package org.standlink.agent;

import org.standlink.Resources;

/**
 * The resources of a VM that are allocated to services and tasks. New allocations never exceed the
 * capacity of the VM.
 *
 * <p>{@code CapacityUsage} is mutable and not thread-safe; its owner guards it.
 */
final class CapacityUsage {

    private final Resources capacity;
    private Resources allocated;

    /**
     * Creates an instance without tasks.
     *
     * @param capacity the capacity of the VM
     * @param reserved the resources reserved for services
     */
    CapacityUsage(Resources capacity, Resources reserved) {
        this.capacity = capacity;
        this.allocated = reserved;
    }

    /**
     * Adds resources that are already in use, even if they exceed the capacity.
     *
     * @param amount the resources
     */
    void addAllocated(Resources amount) {
        allocated = allocated.plus(amount);
    }

    /**
     * Allocates resources if they fit into the capacity.
     *
     * @param amount the resources
     * @return true if they were allocated
     */
    boolean tryAllocate(Resources amount) {
        Resources total = allocated.plus(amount);
        if (!total.fitsIn(capacity)) {
            return false;
        }
        allocated = total;
        return true;
    }

    /**
     * Releases resources.
     *
     * @param amount the resources
     */
    void release(Resources amount) {
        allocated = allocated.minus(amount);
    }

    /**
     * Checks whether the allocated resources exceed the capacity. This can happen when the
     * resources reserved for services are raised.
     *
     * @return true if so
     */
    boolean isOvercommitted() {
        return !allocated.fitsIn(capacity);
    }
}
