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
package org.standlink.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import org.standlink.AbstractIdentifier;

/**
 * Identifies a worker. A restarted worker may have the same id, see {@link WorkerIncarnation}.
 *
 * <p>{@code WorkerId} is thread-safe and immutable.
 */
public final class WorkerId extends AbstractIdentifier {

    private WorkerId(String value) {
        super(value);
    }

    /**
     * Parses an identifier from text.
     *
     * @param text lower-case letters, digits, dots, hyphens and underscores, 1 to 64 of them
     * @return the identifier
     * @throws org.standlink.StandlinkException with code INVALID_IDENTIFIER if the text is not a
     *     worker's id
     */
    @JsonCreator
    public static WorkerId parse(String text) {
        return new WorkerId(check("WorkerId", text));
    }
}
