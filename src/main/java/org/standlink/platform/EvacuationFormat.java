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
 * Decodes the operator's requests to evacuate halls.
 *
 * <p>{@code EvacuationFormat} is thread-safe and immutable.
 */
public final class EvacuationFormat {

    /** The prefix of the keys; the name of the hall follows. */
    private static final String KEY_PREFIX = "evacuate/";

    private EvacuationFormat() {}

    /**
     * Decodes a record. The request is contained in the key alone; a record without a value revokes
     * it.
     *
     * @param record the record
     * @return the change, empty if the record has another kind of key
     * @throws org.standlink.StandlinkException with code INVALID_IDENTIFIER if the key does not
     *     contain a valid hall name
     */
    public static Optional<EvacuationChange> decode(KeyedRecord record) {
        if (!record.key().startsWith(KEY_PREFIX)) {
            return Optional.empty();
        }
        HallId hall = HallId.parse(record.key().substring(KEY_PREFIX.length()));
        return Optional.of(new EvacuationChange(hall, record.value().length > 0));
    }
}
