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

/**
 * Decides which runs of a worker whose lease is over may still be started by its next incarnation,
 * so that they must begin nowhere else.
 */
@FunctionalInterface
interface OpenRunPolicy {

    /** Those that agents have reported, if the agent is there to tell. */
    OpenRunPolicy REPORTED = (task, worker) -> worker.getOpenRuns().contains(task.getRun());

    /** Those that agents have reported or may not have reported yet, if the agent is silent. */
    OpenRunPolicy UNREPORTED =
            (task, worker) ->
                    worker.getLife().isKnown()
                            && (REPORTED.isOpen(task, worker) || !task.isListed());

    /** None, once no call may be carried out any more. */
    OpenRunPolicy NONE = (task, worker) -> false;

    /**
     * Checks whether the worker's next incarnation may still start a task's last run.
     *
     * @param task the task, which is placed on the worker
     * @param worker the worker
     * @return true if so
     */
    boolean isOpen(TaskEntry task, WorkerEntry worker);
}
