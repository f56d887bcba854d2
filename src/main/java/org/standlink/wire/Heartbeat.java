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
 * What an agent tells its leader every second.
 *
 * <p>{@code Heartbeat} is thread-safe and immutable.
 *
 * @param vm the VM of the agent
 * @param incarnation the run of the agent
 * @param number the number of the heartbeat within the run; one that comes after a later one is
 *     void
 * @param full whether all tasks are told, so that others are forgotten
 * @param epoch the highest epoch the agent has acknowledged
 * @param generation the lease generation the agent holds
 * @param bundle the bundle version in force at the agent
 * @param revision the revision of the assignments the agent has
 * @param leaving whether the VM is leaving
 * @param workerReady whether the agent holds a live worker lease
 * @param tasks what the agent knows of its tasks and the leader does not have yet
 * @param gone tasks that the leader has and that are no more
 * @param services how the services on the VM stand
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
