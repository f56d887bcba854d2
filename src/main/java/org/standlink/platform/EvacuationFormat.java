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
package org.standlink.platform;

import java.util.Optional;
import org.standlink.HallId;
import org.standlink.job.EvacuationChange;
import org.standlink.store.KeyedRecord;

/**
 * Reads requests of the operator to evacuate halls.
 *
 * <p>{@code EvacuationFormat} is thread-safe and immutable.
 */
public final class EvacuationFormat {

    /** The start of the keys; the name of the hall follows. */
    private static final String KEY_START = "evacuate/";

    /** No instances. */
    private EvacuationFormat() {}

    /**
     * Reads a record. The key alone carries the request; a record without a value ends it.
     *
     * @param record the record
     * @return the change, empty if the record holds something else
     * @throws org.standlink.StandlinkException with code INVALID_IDENTIFIER if the key names no
     *     hall
     */
    public static Optional<EvacuationChange> decode(KeyedRecord record) {
        if (!record.key().startsWith(KEY_START)) {
            return Optional.empty();
        }
        HallId hall = HallId.parse(record.key().substring(KEY_START.length()));
        return Optional.of(new EvacuationChange(hall, record.value().length > 0));
    }
}
