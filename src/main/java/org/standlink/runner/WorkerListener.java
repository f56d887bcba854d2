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
 * Is told of workers that send heartbeats or leave.
 *
 * <p>Implementations must be thread-safe.
 */
public interface WorkerListener {

    /**
     * A worker has sent a heartbeat.
     *
     * @param worker what it said of itself
     * @param sequence rises with each heartbeat of one life, so that a late one can be known
     */
    void heartbeatReceived(WorkerDescription worker, long sequence);

    /**
     * A worker has said that it has left; which life of it, its message does not tell.
     *
     * @param worker its id
     */
    void workerLeft(WorkerId worker);
}
