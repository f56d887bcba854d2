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
import org.standlink.LeaseGeneration;
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;

/**
 * Orders of the leader to an agent, for one incarnation of a worker.
 *
 * <p>{@code RunOrders} is thread-safe and immutable.
 *
 * @param epoch the epoch of the leader
 * @param generation the generation of the agent's lease under which the orders were given
 * @param worker the incarnation of the worker
 * @param starts the runs to start
 * @param stops the runs to stop
 * @param recordedEnd the number of the worker's last run end that has been recorded
 */
public record RunOrders(
        Epoch epoch,
        LeaseGeneration generation,
        WorkerIncarnation worker,
        List<StartOrder> starts,
        List<RunId> stops,
        long recordedEnd)
        implements Message {}
