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
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;

/**
 * The stored record of a job that is in a final state and has no runs left: what callers may still
 * query.
 *
 * <p>It is serialised as an array, so new components may only be appended.
 *
 * <p>{@code FinishedJobRecord} is thread-safe and immutable.
 *
 * @param order the position in the order of acceptance
 * @param state the state
 * @param queue the name of the job's queue
 * @param acceptedWallMillis when the job was accepted, in milliseconds since 1970
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record FinishedJobRecord(long order, JobState state, String queue, long acceptedWallMillis) {

    /**
     * Makes the record of a finished job.
     *
     * @param queue the name of the job's queue
     * @param record the record of the job so far
     * @return the reduced record
     */
    static FinishedJobRecord of(String queue, JobRecord record) {
        return new FinishedJobRecord(
                record.order(), record.state(), queue, record.acceptedWallMillis());
    }

    /**
     * Makes a definition without steps.
     *
     * @param id the identifier
     * @return the definition
     */
    JobDefinition toDefinition(JobId id) {
        return new JobDefinition(id, queue, "", List.of(), 0, 0, 0);
    }

    /**
     * Makes a record without tasks.
     *
     * @return the record
     */
    JobRecord toRecord() {
        return new JobRecord(order, state, List.of(), acceptedWallMillis, 0, null);
    }
}
