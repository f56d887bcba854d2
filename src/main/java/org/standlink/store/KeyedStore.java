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
package org.standlink.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.standlink.Epoch;

/**
 * A client of the platform's store.
 *
 * <p>Each call fails with a {@link org.standlink.StandlinkException}: PLATFORM_UNAVAILABLE if it
 * certainly has no effect, PLATFORM_OUTCOME_UNKNOWN if it may have had an effect or may still have
 * one later.
 *
 * <p>Implementations must be thread-safe.
 */
public interface KeyedStore {

    /**
     * Gets the largest records and appends that the store accepts. A larger append fails however
     * often it is repeated.
     *
     * @return the limits
     */
    default StoreLimits getLimits() {
        return StoreLimits.DEFAULT;
    }

    /**
     * Appends records if the topic ends at a given offset.
     *
     * @param topic the topic
     * @param records the records
     * @param expectedEnd the offset
     * @return the new end offset; fails with CONDITION_FAILED if the topic ends elsewhere
     */
    CompletableFuture<Long> appendAt(Topic topic, List<KeyedRecord> records, long expectedEnd);

    /**
     * Appends records as the only writer of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param condition the epoch, number and expected position of the append
     * @return the new end offset; fails with EPOCH_FENCED if there is a writer of a newer epoch,
     *     with EPOCH_SHARED if another writer numbers its appends under the same epoch, and with
     *     CONDITION_FAILED if the topic ends elsewhere than expected
     */
    CompletableFuture<Long> append(
            Topic topic, List<KeyedRecord> records, AppendCondition condition);

    /**
     * Raises the epoch of a topic's writer, so that appends of older epochs are rejected.
     *
     * @param topic the topic
     * @param epoch the epoch
     * @return the end offset; fails with EPOCH_FENCED if there is a writer of a newer epoch
     */
    CompletableFuture<Long> fence(Topic topic, Epoch epoch);

    /**
     * Reads records and waits for one if there is none yet.
     *
     * @param topic the topic
     * @param from the offset of the first record
     * @param waitMillis the maximum wait, in milliseconds; 0 for none
     * @return the records; fails with LOG_GAP if they are no longer retained
     */
    CompletableFuture<ReadResult> read(Topic topic, long from, long waitMillis);

    /**
     * Reads the offset after the last record of a topic.
     *
     * @param topic the topic
     * @return the end offset
     */
    CompletableFuture<Long> readEnd(Topic topic);

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, and an offset from which further reads miss no record
     */
    CompletableFuture<ReadResult> readNewest(Topic topic);
}
