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
 * One append, from its first call to the answer.
 *
 * <p>{@code PendingAppend} is mutable and not thread-safe; the commit queue owns it.
 */
final class PendingAppend {

    /** What is to be kept. */
    private final List<KeyedRecord> records;

    /** What happens once it is kept. */
    private final List<Runnable> effects;

    /** How many calls for it are under way. */
    private int calls;

    /** The number of the last call for it. */
    private int lastCall;

    /** Whether it was taken. */
    private boolean accepted;

    /** Whether it is being read back. */
    private boolean confirming;

    /**
     * Constructor.
     *
     * @param records what is to be kept
     * @param effects what happens once it is kept
     */
    PendingAppend(List<KeyedRecord> records, List<Runnable> effects) {
        this.records = records;
        this.effects = effects;
    }

    /** Takes note that a call is sent. */
    void callStarted() {
        calls++;
        lastCall++;
    }

    /** Takes note that a call is over, with or without an answer. */
    void callFinished() {
        calls--;
    }

    /** Takes note that the store has taken it. */
    void markAccepted() {
        accepted = true;
    }

    /**
     * Sets whether it is being read back.
     *
     * @param reading whether it is
     */
    void setReadingBack(boolean reading) {
        confirming = reading;
    }

    List<KeyedRecord> getRecords() {
        return records;
    }

    List<Runnable> getCallbacks() {
        return effects;
    }

    int getCallsInFlight() {
        return calls;
    }

    int getLastCallNumber() {
        return lastCall;
    }

    boolean isAccepted() {
        return accepted;
    }

    boolean isReadingBack() {
        return confirming;
    }

    /**
     * Checks whether it was read back.
     *
     * @param read the records from where it should begin; a read may end before, but appends are
     *     whole
     * @return true if these are its records
     */
    boolean matches(List<KeyedRecord> read) {
        int common = Math.min(read.size(), records.size());
        return read.subList(0, common).equals(records.subList(0, common));
    }
}
