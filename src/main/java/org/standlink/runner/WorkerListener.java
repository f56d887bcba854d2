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
import org.standlink.job.WorkerId;

/**
 * Receives the heartbeats and departure messages of workers.
 *
 * <p>Implementations must be thread-safe.
 */
public interface WorkerListener {

    /**
     * Called when a worker has sent a heartbeat.
     *
     * @param worker the description in the heartbeat
     * @param sequence the sequence number, which rises with each heartbeat of an incarnation, so
     *     that a late one can be detected
     */
    void heartbeatReceived(WorkerDescription worker, long sequence);

    /**
     * Called when a worker has sent a departure message, which does not identify the incarnation.
     *
     * @param worker the id of the worker
     */
    void workerLeft(WorkerId worker);
}
