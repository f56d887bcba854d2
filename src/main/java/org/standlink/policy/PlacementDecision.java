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

import org.standlink.Resources;
import org.standlink.VmId;

/**
 * The worker that a task is assigned to, or the reason why it waits.
 *
 * <p>{@code PlacementDecision} is thread-safe and immutable.
 *
 * @param worker the VM, null if the task waits
 * @param resources the resources granted to the task, null if it waits
 * @param reason why the task waits, empty if it is placed
 */
public record PlacementDecision(VmId worker, Resources resources, String reason) {

    /**
     * Creates a decision to place the task.
     *
     * @param worker the VM
     * @param resources the resources granted to the task
     * @return the decision
     */
    public static PlacementDecision ofPlaced(VmId worker, Resources resources) {
        return new PlacementDecision(worker, resources, "");
    }

    /**
     * Creates a decision to let the task wait.
     *
     * @param reason why the task waits
     * @return the decision
     */
    public static PlacementDecision ofWaiting(String reason) {
        return new PlacementDecision(null, null, reason);
    }

    /**
     * Checks whether the task is placed.
     *
     * @return true if placed
     */
    public boolean isPlaced() {
        return worker != null;
    }
}
