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
package org.standlink.dayreport;

import java.util.Locale;
import org.standlink.job.JobState;
import org.standlink.job.RunEndKind;

/** Names why a run was lost, so that it had to be repeated or was not needed. */
final class LostRunCause {

    /** The run failed, by its own fault or by that of its worker. */
    static final String FAILED = nameOf(RunEndKind.FAILED);

    /** The task was assigned under the same number again, so the first decision was not stored. */
    static final String NOT_STORED = "assigned again (not stored)";

    /** The run completed the task, but a later leader repeated it, so the result was not stored. */
    static final String RESULT_NOT_STORED = "result not stored";

    /** The next run of the task was assigned, but how this one ended is not in the log. */
    static final String END_MISSING = "end not in the log";

    /** Another run of the task was completed. */
    static final String TASK_DONE = "another run completed the task";

    /** The leader did not expect the run on its worker. */
    static final String UNEXPECTED = "unexpected-runs";

    /** The reason of a leader for the release of a run that was stopped before its start. */
    private static final String STOPPED_BEFORE_START = "stopped-before-start";

    private static final String UNKNOWN = "no cause in the log";

    /** The cause beyond the limit of causes. */
    static final String OTHER = "other causes";

    private LostRunCause() {}

    /**
     * Names the cause of a run's end.
     *
     * @param kind how it ended
     * @param stopCause why it was to be stopped, empty if not known
     * @return the cause
     */
    static String ofEnd(RunEndKind kind, String stopCause) {
        return kind == RunEndKind.STOPPED ? ofStop(stopCause) : nameOf(kind);
    }

    /**
     * Names the cause of a run's release.
     *
     * @param reason the reason that the leader gave
     * @param stopCause why it was to be stopped, empty if not known
     * @return the cause
     */
    static String ofRelease(String reason, String stopCause) {
        return reason.equals(STOPPED_BEFORE_START) && !stopCause.isEmpty()
                ? ofStop(stopCause)
                : "released (" + reason + ")";
    }

    /**
     * Names the cause of stopping a run because its job became final.
     *
     * @param state the state of the job
     * @return the cause
     */
    static String ofJob(JobState state) {
        return "job " + state.name().toLowerCase(Locale.ROOT);
    }

    private static String ofStop(String stopCause) {
        return "stopped (" + (stopCause.isEmpty() ? UNKNOWN : stopCause) + ")";
    }

    private static String nameOf(RunEndKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
