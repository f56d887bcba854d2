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
package org.standlink.policy;

import java.util.Set;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.ServiceId;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;

/**
 * A task that is waiting to be placed.
 *
 * <p>{@code TaskDemand} is thread-safe and immutable.
 *
 * @param task the task
 * @param team the team whose quota it uses
 * @param batchClass the class whose size and interference are learned together
 * @param declared the declared size
 * @param urgent whether it has precedence over all ordinary tasks
 * @param priority the priority among tasks with the same deadline, the greatest first
 * @param hoursLeft the hours until its deadline, negative if it has none
 * @param halls the permitted halls, empty if all are
 * @param avoidServices the services that must not be on the same VM
 * @param avoidWorkers the workers on which it has failed
 */
public record TaskDemand(
        TaskId task,
        TeamId team,
        String batchClass,
        Resources declared,
        boolean urgent,
        int priority,
        int hoursLeft,
        Set<HallId> halls,
        Set<ServiceId> avoidServices,
        Set<VmId> avoidWorkers) {}
