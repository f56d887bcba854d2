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
package org.standlink.log;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record in the platform's log.
 *
 * <p>Each record has an id drawn by its writer, by which the writer finds it again after a lost
 * answer.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.PROPERTY, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = BundleRecord.class, name = "bundle"),
    @JsonSubTypes.Type(value = ClaimRecord.class, name = "claim"),
    @JsonSubTypes.Type(value = BundleTaskRecord.class, name = "tasks"),
    @JsonSubTypes.Type(value = SnapshotRecord.class, name = "snapshot")
})
public sealed interface LogRecord
        permits BundleRecord, ClaimRecord, BundleTaskRecord, SnapshotRecord {

    /**
     * Gets the id drawn by the writer.
     *
     * @return the id
     */
    String id();
}
