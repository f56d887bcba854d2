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
package org.standlink.cell;

import org.standlink.job.WorkerIncarnation;

/**
 * What is known of start calls for earlier runs of a task, which a later incarnation of their
 * worker may still carry out.
 *
 * <p>{@code EarlierStarts} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class EarlierStarts {

    /** Null if no worker certainly refuses the calls; not persisted. */
    private WorkerIncarnation barringWorker;

    /** Whether a call was in doubt when the last run ended or was assigned. */
    private boolean inDoubt;

    /**
     * Gets the only worker that may run the task while a call is in doubt: it refuses the call. If
     * it is lost, the next run is lost as well.
     *
     * @return the worker, null if none certainly refuses the call
     */
    WorkerIncarnation getBarringWorker() {
        return barringWorker;
    }

    /**
     * Sets the worker that refuses the calls.
     *
     * @param worker the worker on which the last run has ended, or which has listed its runs after
     *     the end of its earlier incarnation; null if there is none
     */
    void setBarringWorker(WorkerIncarnation worker) {
        barringWorker = worker;
    }

    /**
     * Checks whether a call was in doubt when the last run ended or was assigned, so that the next
     * leader must assume that it still is.
     *
     * @return true if so
     */
    boolean isInDoubt() {
        return inDoubt;
    }

    /**
     * Records whether a call is in doubt.
     *
     * @param doubt whether a later incarnation of a worker may still carry it out
     */
    void setInDoubt(boolean doubt) {
        inDoubt = doubt;
    }
}
