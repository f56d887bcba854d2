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
 * Collects the errors in a file, so that all of them are reported together.
 *
 * <p>{@code ValidationErrors} is mutable and not thread-safe.
 */
public final class ValidationErrors {

    private final List<ValidationError> errors = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param path the location of the error
     * @param problem a description of the error, with the invalid value
     * @param remedy how to correct it
     */
    public void add(String path, String problem, String remedy) {
        errors.add(new ValidationError(path, problem, remedy));
    }

    /**
     * Gets the errors.
     *
     * @return the errors in the order in which they were added
     */
    public List<ValidationError> getErrors() {
        return List.copyOf(errors);
    }

    /**
     * Throws an exception if there are any errors.
     *
     * @param code the code of the exception
     * @param source the name of the file, for the message
     * @throws StandlinkException with the given code, listing each error on a line of its own
     */
    public void throwIfAny(ErrorCode code, String source) {
        if (errors.isEmpty()) {
            return;
        }
        StringBuilder lines = new StringBuilder(source + " has " + errors.size() + " fault(s):");
        for (ValidationError error : errors) {
            lines.append("\n  ").append(error);
        }
        throw new StandlinkException(code, lines.toString(), "correct each of them and try again");
    }
}
