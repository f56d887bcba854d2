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
 * @param tasks the tasks, in the order of step and index; null for a job with start times, which an
 *     earlier version stored with the tasks of all repetitions and would start from the first one
 * @param acceptedWallMillis when the job was accepted, in milliseconds since 1970 by the clock of
 *     the leader of that time; suitable for the age of a job, not for exact decisions
 * @param nextRepetition the first repetition of a job with start times that was never started; all
 *     earlier ones that are not listed are finished
 * @param repetitions the started and unfinished repetitions of a job with start times, null for
 *     other jobs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record JobRecord(
        long order,
        JobState state,
        List<SubmittedTaskRecord> tasks,
        long acceptedWallMillis,
        int nextRepetition,
        List<RepetitionRecord> repetitions) {

    /**
     * Returns a copy without checkpoints, from which tasks are started without their progress.
     *
     * @return the shorter record
     */
    JobRecord withoutCheckpoints() {
        return new JobRecord(
                order,
                state,
                tasks == null ? null : withoutCheckpoints(tasks),
                acceptedWallMillis,
                nextRepetition,
                repetitions == null
                        ? null
                        : repetitions.stream()
                                .map(
                                        repetition ->
                                                new RepetitionRecord(
                                                        repetition.number(),
                                                        withoutCheckpoints(repetition.tasks())))
                                .toList());
    }

    private static List<SubmittedTaskRecord> withoutCheckpoints(List<SubmittedTaskRecord> tasks) {
        return tasks.stream().map(SubmittedTaskRecord::withoutCheckpoint).toList();
    }
}
