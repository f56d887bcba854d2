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

/**
 * The exception thrown by standlink, with an error code, a description of the problem and a remedy.
 *
 * <p>{@code StandlinkException} is thread-safe and immutable.
 */
public final class StandlinkException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    private final String remedy;

    /**
     * Creates an exception without a cause.
     *
     * @param code the kind of error
     * @param problem the problem, including the invalid value
     * @param remedy the remedy for the problem
     */
    public StandlinkException(ErrorCode code, String problem, String remedy) {
        this(code, problem, remedy, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the kind of error
     * @param problem the problem, including the invalid value
     * @param remedy the remedy for the problem
     * @param cause the underlying error, null if none
     */
    public StandlinkException(ErrorCode code, String problem, String remedy, Throwable cause) {
        super(problem + "; " + remedy, cause);
        this.code = code;
        this.remedy = remedy;
    }

    /**
     * Gets the kind of error.
     *
     * @return the code
     */
    public ErrorCode getCode() {
        return code;
    }

    /**
     * Gets the remedy for the problem.
     *
     * @return the remedy
     */
    public String getRemedy() {
        return remedy;
    }
}
