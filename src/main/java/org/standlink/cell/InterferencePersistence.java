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
import org.standlink.pack.PackArray;
import org.standlink.pack.PackFormat;
import org.standlink.pack.PackInput;
import org.standlink.pack.PackOutput;
import org.standlink.policy.EstimateFormat;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.store.KeyedRecord;
import org.standlink.store.MessagePackCodec;

/**
 * Persists the interference estimates, so that a new leader need not disturb serving runs to learn
 * them again. It causes no append of its own: its records are added to other appends.
 *
 * <p>{@code InterferencePersistence} is mutable and not thread-safe; it is confined to the leader's
 * event loop.
 */
final class InterferencePersistence implements ChangeSource {

    /** The key of the estimates in the store. */
    static final String KEY = "beliefs";

    /**
     * The minimum time between two records, in milliseconds. A record takes some kilobytes, and a
     * pair takes two seconds to be learned.
     */
    private static final long MIN_INTERVAL_MILLIS = 4000;

    private static final EventLog LOG = EventLog.of(InterferencePersistence.class);

    private final InterferenceTable table;
    private final MonotonicClock clock;

    /** The estimates recorded last. */
    private List<InterferenceTable.Entry> recorded = List.of();

    /** When the estimates were last compared with the record, on the leader's clock. */
    private long lastCheckMillis;

    /**
     * The stored form of the estimates.
     *
     * @param estimates the estimates
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record InterferenceRecord(List<InterferenceTable.Entry> estimates) {}

    InterferencePersistence(InterferenceTable table, MonotonicClock clock) {
        this.table = table;
        this.clock = clock;
        this.lastCheckMillis = clock.nowMillis();
    }

    /**
     * Restores the estimates from the store.
     *
     * @param records the records, in any order; those of other sources are ignored
     */
    void restore(List<KeyedRecord> records) {
        for (KeyedRecord record : records) {
            if (record.key().equals(KEY) && record.value().length > 0) {
                recorded =
                        MessagePackCodec.decode(record.value(), InterferenceRecord.class, RECORD)
                                .estimates();
                table.putAll(recorded);
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
        if (clock.nowMillis() - lastCheckMillis < MIN_INTERVAL_MILLIS) {
            return List.of();
        }
        lastCheckMillis = clock.nowMillis();
        List<InterferenceTable.Entry> current = table.list();
        if (current.equals(recorded)) {
            return List.of();
        }
        recorded = current;
        return List.of(
                new KeyedRecord(
                        KEY, MessagePackCodec.encode(new InterferenceRecord(current), RECORD)));
    }

    @Override
    public void markPersisted() {
        // Nothing waits for the estimates to be persisted.
    }

    // -----------------------------------------------------------------------
    private static final PackFormat<InterferenceRecord> RECORD = new RecordFormat();

    private static final class RecordFormat implements PackFormat<InterferenceRecord> {

        @Override
        public void write(PackOutput output, InterferenceRecord value) {
            output.array(1).list(value.estimates(), EstimateFormat.ESTIMATE);
        }

        @Override
        public InterferenceRecord read(PackInput input) {
            PackArray parts = input.array();
            if (parts == null) {
                return null;
            }
            InterferenceRecord value = new InterferenceRecord(parts.list(EstimateFormat.ESTIMATE));
            parts.end();
            return value;
        }
    }
}
