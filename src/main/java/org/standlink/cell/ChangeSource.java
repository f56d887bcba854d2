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

/** A part of the leader's state whose changes are kept in the store. */
interface ChangeSource {

    /**
     * Checks whether anything is to be kept.
     *
     * @return true if so
     */
    boolean hasChanges();

    /**
     * Takes the records of all that has changed; {@link #markPersisted()} must come before the next
     * time.
     *
     * @return the records
     */
    List<KeyedRecord> takeChanges();

    /** Takes note that the records taken last have been kept. */
    void markPersisted();
}
