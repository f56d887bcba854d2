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

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.standlink.job.JobState;

/**
 * The stored state of a job; its definition is stored separately.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code JobRecord} is thread-safe and immutable.
 *
 * @param order the position in the order of acceptance
 * @param state the state
 * @param tasks the tasks, in the order of repetition, step and index
 * @param acceptedWallMillis when the job was accepted, in milliseconds since 1970 by the clock of
 *     the leader of that time; suitable for the age of a job, not for exact decisions
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record JobRecord(
        long order, JobState state, List<SubmittedTaskRecord> tasks, long acceptedWallMillis) {}
