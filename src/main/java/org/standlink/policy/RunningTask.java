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
 * A task that holds room, as planning and relief see it.
 *
 * <p>{@code RunningTask} is thread-safe and immutable.
 *
 * @param task the task
 * @param team whose quota it uses
 * @param batchClass the name under which it is learned
 * @param worker where it is
 * @param granted what it was granted
 * @param urgent whether it is urgent
 * @param checkpointable whether it loses nothing when it is moved
 * @param throttlePercent the share of its processors it may use now, in percent
 * @param queued whether it still waits there for room
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
