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
package org.standlink.admission;

/**
 * The decision about a submitted job.
 *
 * <p>{@code AdmissionDecision} is thread-safe and immutable.
 *
 * @param admitted whether the job is accepted
 * @param predictedMillis the predicted time from now to the completion of the job, in milliseconds;
 *     0 if nothing was predicted
 * @param limitMillis the time within which a completion is of use to the caller, in milliseconds
 * @param retryAfterSeconds after how long the caller should retry, in seconds; 0 if admitted
 */
public record AdmissionDecision(
        boolean admitted, long predictedMillis, long limitMillis, long retryAfterSeconds) {

    /** The decision to accept a job without a prediction. */
    public static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0, 0, 0);
}
