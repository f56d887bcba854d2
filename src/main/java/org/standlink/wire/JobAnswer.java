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
package org.standlink.wire;

import org.standlink.job.JobState;

/**
 * The leader's answer about a job or a queue.
 *
 * <p>{@code JobAnswer} is thread-safe and immutable.
 *
 * @param result what became of the question
 * @param state the state of the job, null if there is none
 * @param waiting how many jobs of the queue have not begun
 * @param reason why, if it was refused
 */
public record JobAnswer(Result result, JobState state, long waiting, String reason)
        implements Message {

    /** What became of a question. */
    public enum Result {
        /** Done; what was to be kept is kept. */
        DONE,
        /** There is no such job. */
        NO_SUCH_JOB,
        /** The leader did not do it and will not. */
        NOT_DONE,
        /** It may have been done. */
        UNKNOWN,
        /** The leader failed over it; it may have been done, and the next leader may fail too. */
        FAILED
    }

    /**
     * Makes an answer that something was done.
     *
     * @param state the state of the job
     * @return the answer
     */
    public static JobAnswer ofDone(JobState state) {
        return new JobAnswer(Result.DONE, state, 0, "");
    }

    /**
     * Makes an answer without a state.
     *
     * @param result what became of the question
     * @param reason why
     * @return the answer
     */
    public static JobAnswer of(Result result, String reason) {
        return new JobAnswer(result, null, 0, reason);
    }
}
