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
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Packing;

/**
 * Keeps what has been learned of images in the store, so that a new leader need not harm serving
 * runs to learn it again. It causes no append of its own: it goes along with others.
 *
 * <p>{@code InterferencePersistence} is mutable and not thread-safe; the leader's loop owns it.
 */
final class InterferencePersistence implements ChangeSource {

    /** The key of the beliefs. */
    static final String KEY = "beliefs";

    /**
     * The least time between two records, in milliseconds: some kilobytes each, against two seconds
     * that a pair takes to be learned.
     */
    private static final long PAUSE_MILLIS = 4000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(InterferencePersistence.class);

    /** The beliefs. */
    private final InterferenceTable harm;

    /** The clock. */
    private final MonotonicClock clock;

    /** What was kept last. */
    private List<InterferenceTable.Entry> recorded = List.of();

    /** When it was kept. */
    private long recordedAt;

    /**
     * What is kept.
     *
     * @param estimates the beliefs
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record InterferenceRecord(List<InterferenceTable.Entry> estimates) {}

    /**
     * Constructor.
     *
     * @param harm the beliefs
     * @param clock the clock
     */
    InterferencePersistence(InterferenceTable harm, MonotonicClock clock) {
        this.harm = harm;
        this.clock = clock;
        this.recordedAt = clock.nowMillis();
    }

    /**
     * Takes over what was kept.
     *
     * @param records the records, in any order; those of other parts are passed over
     */
    void restore(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            if (record.key().equals(KEY) && record.value().length > 0) {
                recorded = Packing.unpack(record.value(), InterferenceRecord.class).estimates();
                harm.putAll(recorded);
                LOG.info("estimates-read").with("pairs", recorded.size()).write();
            }
        }
    }

    @Override
    public boolean hasChanges() {
        return false;
    }

    @Override
    public List<KeyedRecord> takeChanges() {
        if (clock.nowMillis() - recordedAt < PAUSE_MILLIS) {
            return List.of();
        }
        recordedAt = clock.nowMillis();
        List<InterferenceTable.Entry> present = harm.list();
        if (present.equals(recorded)) {
            return List.of();
        }
        recorded = present;
        return List.of(new KeyedRecord(KEY, Packing.pack(new InterferenceRecord(present))));
    }

    @Override
    public void markPersisted() {
        // Nothing waits for beliefs.
    }
}
