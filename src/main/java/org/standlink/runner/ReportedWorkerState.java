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
 * The state that an incarnation of a worker reported in its last heartbeat.
 *
 * <p>{@code ReportedWorkerState} is mutable and not thread-safe; it is confined to the agent's
 * event loop.
 */
final class ReportedWorkerState {

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    private WorkerDescription description;

    /** The highest sequence number of a received heartbeat. */
    private long lastSequence;

    ReportedWorkerState(WorkerDescription description) {
        this.description = description;
    }

    /**
     * Updates the state from a heartbeat. A heartbeat older than one received before is ignored, as
     * it may not show yet that the worker is draining, and so is one with another address while the
     * worker answers at its own.
     *
     * @param reported the description in the heartbeat
     * @param sequence the sequence number of the heartbeat
     * @param reachable whether the worker answered the last call
     * @return true if it shows for the first time that the worker is draining
     */
    boolean update(WorkerDescription reported, long sequence, boolean reachable) {
        boolean addressChanged = !reported.address().equals(description.address());
        if (sequence < lastSequence || reachable && addressChanged) {
            return false;
        }
        lastSequence = sequence;
        boolean startsDraining = reported.draining() && !description.draining();
        description = reported;
        if (startsDraining) {
            LOG.info("worker-draining")
                    .with("worker", reported.incarnation())
                    .with("remaining-millis", reported.remainingMillis())
                    .write();
        }
        return startsDraining;
    }

    WorkerIncarnation getIncarnation() {
        return description.incarnation();
    }

    /**
     * Gets the description in the last heartbeat.
     *
     * @return the description
     */
    WorkerDescription getDescription() {
        return description;
    }
}
