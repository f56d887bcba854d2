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

import java.util.Arrays;

/**
 * A record with a key.
 *
 * <p>{@code KeyedRecord} is treated as immutable: the value must not be modified.
 *
 * @param key the key, 1 to 255 bytes of ASCII
 * @param value the value; an empty one removes the key
 */
public record KeyedRecord(String key, byte[] value) {

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyedRecord record
                && record.key.equals(key)
                && Arrays.equals(record.value, value);
    }

    @Override
    public int hashCode() {
        return key.hashCode();
    }

    @Override
    public String toString() {
        return key + " (" + value.length + " bytes)";
    }
}
