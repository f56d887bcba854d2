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

import org.standlink.job.WorkerIncarnation;

/**
 * Is told what the answers of workers show: which life is there, and how time has gone on.
 * Heartbeats may come late, so that they don't tell which of two lives at one address is the
 * present one; an answered call does.
 *
 * <p>Implementations are called on the agent's loop.
 */
interface IncarnationListener {

    /**
     * Takes note that a life has answered, so that all others at its address are over.
     *
     * @param worker the life
     */
    void confirmed(WorkerIncarnation worker);

    /**
     * Takes note that another life has answered in place of this one, which is over.
     *
     * @param worker the life that is over
     * @param by the life that has answered, null if it has not told its own
     */
    void replaced(WorkerIncarnation worker, WorkerIncarnation by);

    /**
     * Takes note that a worker has left.
     *
     * @param worker the life that is over
     */
    void departed(WorkerIncarnation worker);

    /**
     * Takes note that the clock of this process has fallen behind a worker's, as it does while its
     * machine is suspended.
     *
     * @param worker the life that has answered
     * @param millis by how much, in milliseconds
     */
    void clockFellBehind(WorkerIncarnation worker, long millis);
}
