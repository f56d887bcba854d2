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
package org.standlink.bundle;

import org.standlink.CellId;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.TeamId;

/**
 * A batch job.
 *
 * <p>{@code JobSpecification} is thread-safe and immutable.
 *
 * @param id the job
 * @param mode whether standlink only observes the job or manages it
 * @param team the team whose quota it uses
 * @param cell the cell in which it runs
 * @param batchClass the name under which interference and sizes are learned
 * @param tasks the number of its tasks
 * @param resources the declared resources of a task
 * @param runSeconds the declared run time of a task, in seconds
 * @param urgency how soon it must start
 * @param priority 0 to 100; a job of greater priority goes first among those of the same urgency
 * @param checkpointable whether a task can resume from a checkpoint
 * @param finishByHour the hour of the day, UTC, by which it must finish; -1 for none
 */
public record JobSpecification(
        JobId id,
        Mode mode,
        TeamId team,
        CellId cell,
        String batchClass,
        int tasks,
        Resources resources,
        long runSeconds,
        Urgency urgency,
        int priority,
        boolean checkpointable,
        int finishByHour) {}
