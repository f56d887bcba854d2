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

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.standlink.store.KeyedRecord;
import org.standlink.store.StoreLimits;

/**
 * The records that wait to be appended, divided into as many appends as the store requires.
 *
 * <p>Each prefix of the records is a valid state, because their sources put a definition before the
 * state that refers to it. The actions run after the last append.
 *
 * <p>{@code AppendBatches} is not thread-safe; it is confined to the leader's event loop.
 */
final class AppendBatches {

    /** The key of the record that only shows that the leader is alive. */
    private static final String HEARTBEAT_KEY = "heartbeat";

    /** The maximum length of one append, in bytes. */
    private final long maxBytes;

    private final Deque<List<KeyedRecord>> batches = new ArrayDeque<>();

    /** The actions to run once all records are durable. */
    private List<Runnable> actions = List.of();

    /**
     * Creates an empty queue.
     *
     * @param limits the largest appends that the store accepts
     */
    AppendBatches(StoreLimits limits) {
        this.maxBytes = limits.callBytes();
    }

    /**
     * Sets the records to be appended; those set before must have been taken.
     *
     * @param records the records
     * @param callbacks the actions to run once all records are durable
     */
    void set(List<KeyedRecord> records, List<Runnable> callbacks) {
        actions = callbacks;
        List<KeyedRecord> batch = new ArrayList<>();
        long length = 0;
        for (KeyedRecord record : records) {
            int recordLength = StoreLimits.lengthOf(record);
            if (!batch.isEmpty() && length + recordLength > maxBytes) {
                batches.add(batch);
                batch = new ArrayList<>();
                length = 0;
            }
            batch.add(record);
            length += recordLength;
        }
        batches.add(batch);
    }

    /**
     * Checks whether all records have been taken.
     *
     * @return true if so
     */
    boolean isEmpty() {
        return batches.isEmpty();
    }

    /**
     * Takes the records of the next append.
     *
     * @param sequence the number of the append
     * @return the append, with the actions if it is the last one
     */
    PendingAppend takeNext(long sequence) {
        List<KeyedRecord> batch = batches.remove();
        if (batch.isEmpty()) {
            byte[] number = Long.toString(sequence).getBytes(StandardCharsets.US_ASCII);
            batch.add(new KeyedRecord(HEARTBEAT_KEY, number));
        }
        return new PendingAppend(batch, batches.isEmpty() ? actions : List.of());
    }
}
