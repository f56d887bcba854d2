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

import java.util.List;
import org.standlink.store.KeyedRecord;

/**
 * An append to the store, from its first call until it has been answered.
 *
 * <p>{@code PendingAppend} is mutable and not thread-safe; it is confined to the commit queue.
 */
final class PendingAppend {

    private final List<KeyedRecord> records;

    private final List<Runnable> callbacks;

    private int callsInFlight;

    private int lastCallNumber;

    private boolean accepted;

    private boolean readingBack;

    /**
     * Creates an append that has not been sent yet.
     *
     * @param records the records to be persisted
     * @param callbacks the actions to run once the records are durable
     */
    PendingAppend(List<KeyedRecord> records, List<Runnable> callbacks) {
        this.records = records;
        this.callbacks = callbacks;
    }

    /** Records that a call is sent. */
    void callStarted() {
        callsInFlight++;
        lastCallNumber++;
    }

    /** Records that a call has ended, with or without an answer. */
    void callFinished() {
        callsInFlight--;
    }

    /** Records that the store has accepted the append. */
    void markAccepted() {
        accepted = true;
    }

    /**
     * Sets whether the records are being read back, after a call whose outcome is unknown.
     *
     * @param active true while they are being read back
     */
    void setReadingBack(boolean active) {
        readingBack = active;
    }

    List<KeyedRecord> getRecords() {
        return records;
    }

    /**
     * Gets the length of the records.
     *
     * @return the length, in bytes, without that of the format
     */
    long getLength() {
        return records.stream()
                .mapToLong(record -> record.key().length() + record.value().length)
                .sum();
    }

    List<Runnable> getCallbacks() {
        return callbacks;
    }

    int getCallsInFlight() {
        return callsInFlight;
    }

    int getLastCallNumber() {
        return lastCallNumber;
    }

    boolean isAccepted() {
        return accepted;
    }

    boolean isReadingBack() {
        return readingBack;
    }

    /**
     * Checks whether records read from the store are those of this append.
     *
     * @param read the records from the expected position on; a read may end before the last record,
     *     but appends are atomic
     * @return true if the records read match those of this append
     */
    boolean matches(List<KeyedRecord> read) {
        int common = Math.min(read.size(), records.size());
        return read.subList(0, common).equals(records.subList(0, common));
    }
}
