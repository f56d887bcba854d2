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
 * Receives what the answers of workers show: which incarnation is the current one, and how far the
 * agent's clock has fallen behind. Heartbeats may arrive late, so they do not show which of two
 * incarnations at one address is the current one; an answered call does.
 *
 * <p>Implementations are called on the agent's event loop.
 */
interface IncarnationListener {

    /**
     * Called when an incarnation has answered, so that all others at its address have ended.
     *
     * @param worker the incarnation
     */
    void confirmed(WorkerIncarnation worker);

    /**
     * Called when another incarnation has answered in place of this one, which has ended.
     *
     * @param worker the incarnation that has ended
     * @param replacement the incarnation that has answered, null if it is not known
     */
    void replaced(WorkerIncarnation worker, WorkerIncarnation replacement);

    /**
     * Called when a worker has left.
     *
     * @param worker the incarnation that has ended
     */
    void departed(WorkerIncarnation worker);

    /**
     * Called when the clock of this process has fallen behind a worker's clock, as it does while
     * its machine is suspended.
     *
     * @param worker the incarnation that has answered
     * @param lagMillis the lag, in milliseconds
     */
    void clockFellBehind(WorkerIncarnation worker, long lagMillis);
}
