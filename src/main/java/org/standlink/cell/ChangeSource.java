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
 * A part of the leader's state whose changes are persisted in the store.
 *
 * <p>Implementations need not be thread-safe; they are confined to the leader's event loop.
 */
interface ChangeSource {

    /**
     * Checks whether there are changes to persist.
     *
     * @return true if so
     */
    boolean hasChanges();

    /**
     * Takes the records of all changes since the last call; {@link #markPersisted()} must be called
     * before the next one.
     *
     * @return the records
     */
    List<KeyedRecord> takeChanges();

    /** Marks the records taken last as persisted. */
    void markPersisted();
}
