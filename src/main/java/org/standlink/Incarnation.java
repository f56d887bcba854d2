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
package org.standlink;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;

/**
 * Identifies one run of a process.
 *
 * <p>A process generates a new incarnation when it starts. An incarnation does not know the
 * commitments of the previous one.
 *
 * <p>{@code Incarnation} is thread-safe and immutable.
 */
public final class Incarnation {

    /**
     * The system's source of random bytes, which {@link SecureRandom} reads as well. Reading it
     * directly saves a start the initialisation of the JDK's security providers.
     */
    private static final Path RANDOM_SOURCE = Path.of("/dev/urandom");

    private final long value;

    private Incarnation(long value) {
        this.value = value;
    }

    /**
     * Creates an incarnation from its number.
     *
     * @param value the number
     * @return the incarnation
     */
    @JsonCreator
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /**
     * Generates a random incarnation.
     *
     * @return an incarnation; the probability that it equals a given other one is 2^-64
     */
    public static Incarnation ofRandom() {
        return new Incarnation(readRandom());
    }

    private static long readRandom() {
        try (DataInputStream source = new DataInputStream(Files.newInputStream(RANDOM_SOURCE))) {
            return source.readLong();
        } catch (IOException absent) {
            // Systems without this source have one that the JDK knows.
            return new SecureRandom().nextLong();
        }
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the number.
     *
     * @return the number
     */
    @JsonValue
    public long getValue() {
        return value;
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation && ((Incarnation) other).value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
