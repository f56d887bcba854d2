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
 * What a VM has granted to services and tasks; never more than it has.
 *
 * <p>{@code CapacityUsage} is mutable and not thread-safe; its owner guards it.
 */
final class CapacityUsage {

    /** What the VM has. */
    private final Resources capacity;

    /** What is granted. */
    private Resources granted;

    /**
     * Constructor.
     *
     * @param capacity what the VM has
     * @param reserved what services take of it
     */
    CapacityUsage(Resources capacity, Resources reserved) {
        this.capacity = capacity;
        this.granted = reserved;
    }

    /**
     * Notes an amount that is held already, whether it fits or not.
     *
     * @param amount the amount
     */
    void addAllocated(Resources amount) {
        granted = granted.plus(amount);
    }

    /**
     * Grants an amount if it fits.
     *
     * @param amount the amount
     * @return true if granted
     */
    boolean tryAllocate(Resources amount) {
        Resources sum = granted.plus(amount);
        if (!sum.fitsIn(capacity)) {
            return false;
        }
        granted = sum;
        return true;
    }

    /**
     * Gives an amount back.
     *
     * @param amount the amount
     */
    void release(Resources amount) {
        granted = granted.minus(amount);
    }

    /**
     * Checks whether more is held than the VM has, as after a change of services.
     *
     * @return true if so
     */
    boolean isOvercommitted() {
        return !granted.fitsIn(capacity);
    }
}
