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
import java.util.Objects;

/**
 * Identifies one run of a task. The runs of a task are numbered from 1 in ascending order.
 *
 * <p>{@code RunId} is thread-safe and immutable.
 *
 * @param task the task
 * @param number the number of the run
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RunId(TaskName task, int number) {

    // Explicit, since the JDK generates the methods of records from method handles when they are
    // first called, which takes milliseconds of every start.
    @Override
    public boolean equals(Object object) {
        return object instanceof RunId other
                && number == other.number
                && Objects.equals(task, other.task);
    }

    @Override
    public int hashCode() {
        return 31 * Objects.hashCode(task) + number;
    }

    @Override
    public String toString() {
        return task + "#" + number;
    }
}
