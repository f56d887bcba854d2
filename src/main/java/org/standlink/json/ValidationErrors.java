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
package org.standlink.json;

import java.util.ArrayList;
import java.util.List;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Collects what is wrong in a file, so that all of it is told at once.
 *
 * <p>{@code ValidationErrors} is mutable and not thread-safe.
 */
public final class ValidationErrors {

    /** What was found. */
    private final List<ValidationError> found = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @param path where it is
     * @param problem what is wrong, with the bad value
     * @param remedy what to do about it
     */
    public void add(String path, String problem, String remedy) {
        found.add(new ValidationError(path, problem, remedy));
    }

    /**
     * Gets what was found.
     *
     * @return the faults in the order found
     */
    public List<ValidationError> getErrors() {
        return List.copyOf(found);
    }

    /**
     * Throws if anything was found.
     *
     * @param code the code of the error
     * @param source the name of the file, for the message
     * @throws StandlinkException with the given code, listing every fault on a line of its own
     */
    public void throwIfAny(ErrorCode code, String source) {
        if (found.isEmpty()) {
            return;
        }
        StringBuilder lines = new StringBuilder(source + " has " + found.size() + " fault(s):");
        for (ValidationError fault : found) {
            lines.append("\n  ").append(fault);
        }
        throw new StandlinkException(code, lines.toString(), "mend each of them and try again");
    }
}
