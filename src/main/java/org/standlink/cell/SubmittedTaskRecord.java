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

/**
 * The stored record of a task.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code SubmittedTaskRecord} is thread-safe and immutable.
 *
 * @param lastRun the number of the last run, 0 before the first
 * @param failures the number of failed runs
 * @param lastFailedRun the number of the last run that was counted as failed
 * @param done whether a run has completed, also of a long-running task, which is started again
 * @param worker where the last run may still be, empty if nowhere
 * @param checkpoint the last checkpoint, empty if none
 * @param crashes how many workers crashed shortly after a run had started
 * @param lateCrashes how many workers crashed later during a run
 * @param suspicion how likely it is that the task crashes its workers, in thousandths
 * @param startInDoubt whether a later incarnation of a former worker may still have started a run
 *     when the last one ended
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record SubmittedTaskRecord(
        int lastRun,
        int failures,
        int lastFailedRun,
        boolean done,
        String worker,
        String checkpoint,
        int crashes,
        int lateCrashes,
        int suspicion,
        boolean startInDoubt) {

    /**
     * Returns a copy without a checkpoint.
     *
     * @return the shorter record
     */
    SubmittedTaskRecord withoutCheckpoint() {
        return new SubmittedTaskRecord(
                lastRun,
                failures,
                lastFailedRun,
                done,
                worker,
                "",
                crashes,
                lateCrashes,
                suspicion,
                startInDoubt);
    }
}
