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
package org.standlink.cell;

import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.WorkFailures;

/**
 * Distinguishes failures of the store from defects of this process.
 *
 * <p>{@code StoreFailureClassifier} is thread-safe and immutable.
 */
final class StoreFailureClassifier {

    private StoreFailureClassifier() {}

    /**
     * Gets the error code of a failure.
     *
     * @param failure the failure of a call, null if the call succeeded
     * @return the code, null if the failure has none
     */
    static ErrorCode codeOf(Throwable failure) {
        return WorkFailures.unwrap(failure) instanceof StandlinkException known
                ? known.getCode()
                : null;
    }

    /**
     * Rethrows a failure where a retry is of no use: one that was not caused by the store but by a
     * defect of this process, or an epoch that has two writers.
     *
     * @param failure the failure of a call, null if the call succeeded
     */
    static void rethrowDefect(Throwable failure) {
        Throwable cause = WorkFailures.unwrap(failure);
        if (cause instanceof Error error) {
            throw error;
        }
        if (cause instanceof RuntimeException defect && !(cause instanceof StandlinkException)) {
            throw defect;
        }
        if (cause instanceof StandlinkException known
                && known.getCode() == ErrorCode.EPOCH_SHARED) {
            throw known;
        }
    }
}
