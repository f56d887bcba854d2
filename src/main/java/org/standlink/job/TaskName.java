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

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;
import org.standlink.ErrorCode;
import org.standlink.JobId;
import org.standlink.StandlinkException;

/**
 * Names one task of a submitted job: the job, the repetition, the step and the index in the step.
 *
 * <p>The text form is {@code JOB.REPETITION.STEP.INDEX}; all numbers count from 0.
 *
 * <p>{@code TaskName} is thread-safe and immutable.
 *
 * @param job the job
 * @param repetition the repetition of a repeated job, 0 for a job that runs once
 * @param step the index of the step
 * @param index the index of the task in its step
 */
public record TaskName(JobId job, int repetition, int step, int index) {

    /** The number of parts of the text form. */
    private static final int PARTS = 4;

    /**
     * Parses the text form.
     *
     * @param text the text, such as {@code 5c0e7a21d94b36f8.0.1.17}
     * @return the name
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text is not a task's name
     */
    @JsonCreator
    public static TaskName parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PARTS) {
            throw invalid(text, null);
        }
        try {
            return new TaskName(
                    JobId.parse(parts[0]),
                    Integer.parseInt(parts[1]),
                    Integer.parseInt(parts[2]),
                    Integer.parseInt(parts[3]));
        } catch (NumberFormatException malformed) {
            throw invalid(text, malformed);
        }
    }

    private static StandlinkException invalid(String text, Throwable cause) {
        return new StandlinkException(
                ErrorCode.INVALID_IDENTIFIER,
                "'" + text + "' does not name a task",
                "write JOB.REPETITION.STEP.INDEX",
                cause);
    }

    /**
     * Checks whether another task belongs to the same step and repetition of the same job.
     *
     * @param other the name of the other task
     * @return true if it does
     */
    public boolean isOfSameStep(TaskName other) {
        return job.equals(other.job) && step == other.step && repetition == other.repetition;
    }

    // -----------------------------------------------------------------------
    // Explicit, since the JDK generates the methods of records from method handles when they are
    // first called, which takes milliseconds of every start.
    @Override
    public boolean equals(Object object) {
        return object instanceof TaskName other
                && repetition == other.repetition
                && step == other.step
                && index == other.index
                && Objects.equals(job, other.job);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * (31 * Objects.hashCode(job) + repetition) + step) + index;
    }

    @JsonValue
    @Override
    public String toString() {
        return job + "." + repetition + "." + step + "." + index;
    }
}
