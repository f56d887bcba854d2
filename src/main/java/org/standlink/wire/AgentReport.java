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

import java.util.List;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.WorkerIncarnation;

/**
 * The heartbeat of an agent: it asks for a lease and tells of its workers.
 *
 * <p>{@code AgentReport} is thread-safe and immutable.
 *
 * @param node the machine's name
 * @param address where the agent listens, host and port
 * @param incarnation the run of the agent
 * @param sequence rises with each report of the agent, so that a late one can be told
 * @param epoch the newest epoch that the agent knows
 * @param generation the generation of its lease, as it was told last under that epoch
 * @param refused whether a worker refused that generation, having seen a higher one
 * @param workers the workers beside it
 * @param dead lives of workers that are surely over; where a worker started again under its id, the
 *     life that followed is among the workers
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
        List<WorkerIncarnation> dead)
        implements Message {}
