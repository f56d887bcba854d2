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
package org.standlink.runner;

import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.EventLog;

/**
 * What one life of a worker said last of itself.
 *
 * <p>{@code ReportedWorkerState} is mutable and not thread-safe; the agent's loop owns it.
 */
final class ReportedWorkerState {

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    /** What it said last. */
    private WorkerDescription description;

    /** The highest number of a heartbeat that was heard. */
    private long lastHeartbeat;

    /**
     * Constructor.
     *
     * @param description what it said first
     */
    ReportedWorkerState(WorkerDescription description) {
        this.description = description;
    }

    /**
     * Takes note of a heartbeat. An earlier one than heard before is passed over, as it may take
     * back that the worker leaves, and so is one that names another address while the worker
     * answers at its own.
     *
     * @param told what the worker said of itself
     * @param number the number of the heartbeat
     * @param reachable whether the worker answered the last call
     * @return true if it says for the first time that it leaves
     */
    boolean update(WorkerDescription told, long number, boolean reachable) {
        boolean elsewhere = !told.address().equals(description.address());
        if (number < lastHeartbeat || reachable && elsewhere) {
            return false;
        }
        lastHeartbeat = number;
        boolean leaves = told.draining() && !description.draining();
        description = told;
        if (leaves) {
            LOG.info("worker-draining")
                    .with("worker", told.incarnation())
                    .with("remaining-millis", told.remainingMillis())
                    .write();
        }
        return leaves;
    }

    /**
     * Gets the life of the worker.
     *
     * @return the life
     */
    WorkerIncarnation getIncarnation() {
        return description.incarnation();
    }

    /**
     * Gets what it said last of itself.
     *
     * @return the description
     */
    WorkerDescription getDescription() {
        return description;
    }
}
