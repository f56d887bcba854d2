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
import org.standlink.BundleVersion;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * The state that an agent reports to its leader every second.
 *
 * <p>{@code Heartbeat} is thread-safe and immutable.
 *
 * @param vm the VM of the agent
 * @param incarnation the incarnation of the agent process
 * @param number the number of the heartbeat within the incarnation; the leader ignores one that
 *     arrives after a later one
 * @param full whether all tasks are listed, so that the leader removes all others
 * @param epoch the highest epoch that the agent has acknowledged
 * @param generation the lease generation that the agent holds
 * @param bundle the bundle version in force at the agent
 * @param revision the revision of the assignments that the agent has received
 * @param leaving whether the VM is leaving
 * @param workerReady whether the agent holds a valid worker lease
 * @param tasks the states of tasks that the leader has not received yet
 * @param gone the tasks whose reports the leader has received and that no longer exist
 * @param services the load and latency of the services on the VM
 */
public record Heartbeat(
        VmId vm,
        Incarnation incarnation,
        long number,
        boolean full,
        Epoch epoch,
        LeaseGeneration generation,
        BundleVersion bundle,
        long revision,
        boolean leaving,
        boolean workerReady,
        List<TaskReport> tasks,
        List<TaskId> gone,
        List<ServiceReport> services)
        implements Message {}
