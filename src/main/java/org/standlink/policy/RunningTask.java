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

import org.standlink.Resources;
import org.standlink.TaskId;
import org.standlink.TeamId;
import org.standlink.VmId;

/**
 * A task that occupies capacity of a worker, as planning and relief see it.
 *
 * <p>{@code RunningTask} is thread-safe and immutable.
 *
 * @param task the task
 * @param team the team whose quota it uses
 * @param batchClass the class whose size and interference are learned together
 * @param worker the VM that it is assigned to
 * @param granted the resources granted to it
 * @param urgent whether it has precedence over all ordinary tasks
 * @param checkpointable whether it loses no work when it is stopped
 * @param throttlePercent the share of its processors that it may use, in percent
 * @param queued whether it is still waiting at the worker for free capacity
 * @param stopping whether it is being stopped
 */
public record RunningTask(
        TaskId task,
        TeamId team,
        String batchClass,
        VmId worker,
        Resources granted,
        boolean urgent,
        boolean checkpointable,
        int throttlePercent,
        boolean queued,
        boolean stopping) {}
