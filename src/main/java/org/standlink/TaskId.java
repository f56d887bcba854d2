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
package org.standlink;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a task by its job and its index within the job.
 *
 * <p>The text form is {@code job#index}.
 *
 * <p>{@code TaskId} is thread-safe and immutable.
 */
public final class TaskId implements Comparable<TaskId> {

    private static final char SEPARATOR = '#';

    private final JobId job;

    private final int index;

    private TaskId(JobId job, int index) {
        this.job = job;
        this.index = index;
    }

    /**
     * Creates a task identifier.
     *
     * @param job the job
     * @param index the index of the task within the job, zero or more
     * @return the identifier
     * @throws StandlinkException with code INVALID_IDENTIFIER if the index is negative
     */
    public static TaskId of(JobId job, int index) {
        if (index < 0) {
            throw invalid(job + "#" + index);
        }
        return new TaskId(job, index);
    }

    /**
     * Parses a task identifier.
     *
     * @param text the text, such as {@code scan-night#3}
     * @return the identifier
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text is not a valid task
     *     identifier
     */
    @JsonCreator
    public static TaskId parse(String text) {
        int separator = text == null ? -1 : text.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            throw invalid(text);
        }
        try {
            int index = Integer.parseInt(text.substring(separator + 1));
            return of(JobId.parse(text.substring(0, separator)), index);
        } catch (NumberFormatException notNumber) {
            throw invalid(text);
        }
    }

    private static StandlinkException invalid(String text) {
        return new StandlinkException(
                ErrorCode.INVALID_IDENTIFIER,
                "TaskId '" + text + "' is not an identifier",
                "use job#index, such as scan-night#3");
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the job.
     *
     * @return the job
     */
    public JobId getJob() {
        return job;
    }

    /**
     * Gets the index within the job.
     *
     * @return the index, zero or more
     */
    public int getIndex() {
        return index;
    }

    // -----------------------------------------------------------------------
    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskId
                && ((TaskId) other).job.equals(job)
                && ((TaskId) other).index == index;
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @JsonValue
    @Override
    public String toString() {
        return job.toString() + SEPARATOR + index;
    }
}
