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

/**
 * Identifies an operator who may write or approve bundles.
 *
 * <p>The bundle contains the operator's public key.
 *
 * <p>{@code OperatorId} is thread-safe and immutable.
 */
public final class OperatorId extends AbstractIdentifier {

    private OperatorId(String value) {
        super(value);
    }

    /**
     * Parses an identifier from text.
     *
     * @param text 1 to 64 lower-case letters, digits, dots, hyphens and underscores; the first is a
     *     letter or a digit
     * @return the identifier
     * @throws StandlinkException with code INVALID_IDENTIFIER if the text is not a valid identifier
     */
    @JsonCreator
    public static OperatorId parse(String text) {
        return new OperatorId(check("OperatorId", text));
    }
}
