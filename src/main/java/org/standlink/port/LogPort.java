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
package org.standlink.port;

/**
 * The platform's append-only log.
 *
 * <p>Implementations are thread-safe.
 */
public interface LogPort {

    /**
     * Appends a record.
     *
     * @param record the bytes of the record
     * @return the offset of the record
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE if the call had no
     *     effect, or PLATFORM_OUTCOME_UNKNOWN if the record may have been appended or may still be
     *     appended later
     */
    long append(byte[] record);

    /**
     * Reads records in order.
     *
     * @param from the first offset to read
     * @param maxRecords the maximum number of records to return
     * @return the records from that offset, or from the first retained one if that is later
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE if the platform did
     *     not accept the call
     */
    LogBatch read(long from, int maxRecords);
}
