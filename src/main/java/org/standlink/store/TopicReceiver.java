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

import java.util.List;

/**
 * Receives the records of a topic.
 *
 * <p>Implementations are called by one thread at a time.
 */
@FunctionalInterface
public interface TopicReceiver {

    /**
     * Receives a record; an older one may follow a newer one of the same key.
     *
     * @param record the record
     */
    void receive(KeyedRecord record);

    /**
     * Receives the newest record of each key. Keys that are missing have been removed, possibly
     * without a call of {@link #receive} for their removal.
     *
     * @param records the records
     */
    default void receiveNewest(List<KeyedRecord> records) {
        records.forEach(this::receive);
    }
}
