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

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A validated, short textual identifier.
 *
 * <p>Subclasses differ only in type, so that the compiler distinguishes the kinds of identifiers.
 *
 * <p>{@code AbstractIdentifier} is thread-safe and immutable, and its subclasses must be as well.
 */
public abstract class AbstractIdentifier implements Comparable<AbstractIdentifier> {

    private static final int MAX_LENGTH = 64;

    private final String value;

    /**
     * Creates an identifier.
     *
     * @param value the text, already validated
     */
    protected AbstractIdentifier(String value) {
        this.value = value;
    }

    /**
     * Validates the text of an identifier.
     *
     * @param kind the name of the type, for the error message
     * @param text the text to check
     * @return the text
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text is not a valid identifier
     */
    protected static String check(String kind, String text) {
        if (!isValid(text)) {
            throw new StandlinkException(
                    ErrorCode.INVALID_IDENTIFIER,
                    kind + " '" + text + "' is not an identifier",
                    "use 1 to 64 lower-case letters, digits, dots, hyphens and underscores");
        }
        return text;
    }

    /** Without a regular expression, since every message contains several identifiers. */
    private static boolean isValid(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean alphanumeric =
                    character >= 'a' && character <= 'z' || character >= '0' && character <= '9';
            boolean separator = character == '.' || character == '_' || character == '-';
            if (!alphanumeric && (i == 0 || !separator)) {
                return false;
            }
        }
        return true;
    }

    // -----------------------------------------------------------------------
    @Override
    public final int compareTo(AbstractIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public final boolean equals(Object other) {
        return other != null
                && other.getClass() == getClass()
                && ((AbstractIdentifier) other).value.equals(value);
    }

    @Override
    public final int hashCode() {
        return value.hashCode();
    }

    @JsonValue
    @Override
    public final String toString() {
        return value;
    }
}
