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
     * @return the offset given to it
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE if it had no effect,
     *     or PLATFORM_OUTCOME_UNKNOWN if it may have been appended or may yet be
     */
    long append(byte[] record);

    /**
     * Reads records in order.
     *
     * @param from the first offset wanted
     * @param most how many records to return at the most
     * @return the records from there on, or from the first retained one if that is later
     * @throws org.standlink.StandlinkException with code PLATFORM_UNAVAILABLE
     */
    LogBatch read(long from, int most);
}
