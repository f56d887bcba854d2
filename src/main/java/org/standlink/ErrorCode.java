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
 * The kinds of errors, each with the exit code that the command ends with.
 *
 * <p>Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 invalid input, 4 refused by the
 * system's state, 5 something needed cannot be reached, 6 the outcome is not known.
 */
public enum ErrorCode {
    /** A defect of standlink itself. */
    INTERNAL(1),
    /** The command line is wrong. */
    USAGE(2),
    /** A name or number does not have the form of its type. */
    INVALID_IDENTIFIER(3),
    /** A settings file has faults. */
    INVALID_SETTINGS(3),
    /** A bundle has faults. */
    INVALID_BUNDLE(3),
    /** A signature is missing, wrong or by the author. */
    INVALID_SIGNATURE(3),
    /** A frame or record could not be decoded. */
    INVALID_MESSAGE(3),
    /** The base of a bundle is not the version in force. */
    STALE_BASE(4),
    /** A lease has lapsed or was never held. */
    LEASE_LAPSED(4),
    /** A start was refused because the machine does not have the room. */
    NO_CAPACITY(4),
    /** The retained log starts after what is needed, and no snapshot covers it. */
    LOG_GAP(4),
    /** A file could not be read or written. */
    FILE(5),
    /** A conditional write found another state than expected. */
    CONDITION_FAILED(4),
    /** A newer leader has written; this one may not write any more. */
    EPOCH_FENCED(4),
    /** The platform did not take the call; it had no effect. */
    PLATFORM_UNAVAILABLE(5),
    /** A peer could not be reached; nothing was sent. */
    PEER_UNREACHABLE(5),
    /** The call to the platform may or may not have had its effect. */
    PLATFORM_OUTCOME_UNKNOWN(6),
    /** The connection to a peer was lost after something was sent. */
    CONNECTION_LOST(6),
    /** No answer came in time. */
    TIMEOUT(6);

    /** The exit code of the command. */
    private final int exitCode;

    /**
     * Constructor.
     *
     * @param exitCode the exit code of the command
     */
    ErrorCode(int exitCode) {
        this.exitCode = exitCode;
    }

    /**
     * Gets the exit code.
     *
     * @return the exit code, 1 to 6
     */
    public int getExitCode() {
        return exitCode;
    }
}
