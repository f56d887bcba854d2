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
package org.standlink.job;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.standlink.JobId;

/**
 * A job as its caller submitted it.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code JobDefinition} is thread-safe and immutable.
 *
 * @param id the identifier chosen by the caller
 * @param queue the name of the queue that the job was submitted to
 * @param specification the text that is passed to every task
 * @param steps the steps
 * @param firstStartMillis the time of the first repetition, in milliseconds since 1970
 * @param intervalMillis the interval between the starts of two repetitions, in milliseconds
 * @param repetitions how often the steps run; 0 if they run once, without a start time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record JobDefinition(
        JobId id,
        String queue,
        String specification,
        List<StepDefinition> steps,
        long firstStartMillis,
        long intervalMillis,
        int repetitions) {

    /**
     * Gets how often the steps run, counting a job without start times as one repetition.
     *
     * @return the number of repetitions, 1 or more
     */
    public int repetitionCount() {
        return Math.max(1, repetitions);
    }

    /**
     * Gets the number of tasks of one repetition.
     *
     * @return the number of tasks of all steps
     */
    public long tasksPerRepetition() {
        return steps.stream().mapToLong(StepDefinition::count).sum();
    }

    /**
     * Checks whether the job has start times.
     *
     * @return true if its repetitions start at set times, false if it runs once, as soon as
     *     possible
     */
    public boolean isTimed() {
        return repetitions > 0;
    }
}
