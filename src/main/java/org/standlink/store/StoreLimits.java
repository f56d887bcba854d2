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

/**
 * The largest records and appends that a store accepts.
 *
 * <p>{@code StoreLimits} is thread-safe and immutable.
 *
 * @param recordBytes the maximum length of a record with its key, in bytes
 * @param callBytes the maximum length of the records of one append, in bytes
 */
public record StoreLimits(int recordBytes, int callBytes) {

    /** The limits of a store that states none. */
    public static final StoreLimits DEFAULT = new StoreLimits(256 * 1024, 2 * 1024 * 1024);

    /** The length of the format that surrounds the key and the value of a record, in bytes. */
    private static final int FORMAT_BYTES = 5;

    /**
     * Calculates the length of a record as the store counts it.
     *
     * @param record the record
     * @return the length, in bytes
     */
    public static int lengthOf(KeyedRecord record) {
        return FORMAT_BYTES + record.key().length() + record.value().length;
    }
}
