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
 * The kinds of errors, each with the exit code of the command line tool.
 *
 * <p>Exit codes: 0 success, 1 internal error, 2 incorrect usage, 3 invalid input, 4 rejected
 * because of the current state, 5 a required resource is unavailable, 6 outcome unknown.
 */
public enum ErrorCode {
    /** A defect of standlink itself. */
    INTERNAL(1),
    /** The command line is invalid. */
    USAGE(2),
    /** A name or number is not valid for its type. */
    INVALID_IDENTIFIER(3),
    /** A settings file is invalid. */
    INVALID_SETTINGS(3),
    /** A bundle is invalid. */
    INVALID_BUNDLE(3),
    /** A signature is missing or invalid, or only the author has signed. */
    INVALID_SIGNATURE(3),
    /** A frame or record could not be decoded. */
    INVALID_MESSAGE(3),
    /** The base version of a bundle is not the version in force. */
    STALE_BASE(4),
    /** A lease has expired or was never held. */
    LEASE_LAPSED(4),
    /** A start was rejected because the machine lacks free capacity. */
    NO_CAPACITY(4),
    /** The required records are no longer retained in the log, and no snapshot covers them. */
    LOG_GAP(4),
    /** A file could not be read or written. */
    FILE(5),
    /** A conditional write failed because the stored state was not the expected one. */
    CONDITION_FAILED(4),
    /** A newer leader has written, so this one may no longer write. */
    EPOCH_FENCED(4),
    /** Another writer appends under the epoch of this one. */
    EPOCH_SHARED(4),
    /** The platform did not accept the request, which had no effect. */
    PLATFORM_UNAVAILABLE(5),
    /** A peer could not be reached; nothing was sent. */
    PEER_UNREACHABLE(5),
    /** The request to the platform may or may not have taken effect. */
    PLATFORM_OUTCOME_UNKNOWN(6),
    /** The connection to a peer was lost after something was sent. */
    CONNECTION_LOST(6),
    /** No answer was received before the timeout. */
    TIMEOUT(6);

    private final int exitCode;

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
