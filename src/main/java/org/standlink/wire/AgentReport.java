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
package org.standlink.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;

/**
 * The heartbeat of an agent, which requests a lease and reports the state of its workers.
 *
 * <p>{@code AgentReport} is thread-safe and immutable.
 *
 * @param node the name of the machine
 * @param address the address at which the agent listens, host and port
 * @param incarnation the incarnation of the agent process
 * @param sequence increases with each report of the agent, so that a delayed report can be
 *     recognised
 * @param epoch the newest epoch known to the agent
 * @param generation the generation of its lease that the agent last received under that epoch
 * @param refused whether a higher generation is required: a worker has seen a higher one than the
 *     current, or a start call under it was repeated before its outcome was known
 * @param workers the workers on the machine
 * @param dead the incarnations of workers that have certainly ended; if a worker has restarted
 *     under its id, its new incarnation is among the workers
 * @param inDoubt the runs of ended incarnations that later ones under the same id may still start,
 *     since the outcome of a start call is unknown
 */
public record AgentReport(
        String node,
        String address,
        Incarnation incarnation,
        long sequence,
        Epoch epoch,
        LeaseGeneration generation,
        boolean refused,
        List<WorkerReport> workers,
        List<WorkerIncarnation> dead,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RunId> inDoubt)
        implements Message {

    /**
     * Creates a report.
     *
     * @param inDoubt null in reports of older programs and in those that name none
     */
    public AgentReport {
        inDoubt = inDoubt == null ? List.of() : inDoubt;
    }
}
