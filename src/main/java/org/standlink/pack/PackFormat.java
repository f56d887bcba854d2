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
package org.standlink.pack;

/**
 * The binary format of a type of composite values.
 *
 * <p>Formats are classes and not lambdas, since each lambda is linked when it is first used, which
 * a start would wait for.
 *
 * <p>Implementations are thread-safe and immutable.
 *
 * @param <T> the type of the values
 */
public interface PackFormat<T> {

    /**
     * Writes a value.
     *
     * @param output where to write
     * @param value the value, not null
     */
    void write(PackOutput output, T value);

    /**
     * Reads a value.
     *
     * @param input where to read
     * @return the value, null if it is nil
     */
    T read(PackInput input);
}
