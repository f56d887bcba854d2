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
package org.standlink.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.standlink.Epoch;
import org.standlink.TaskId;
import org.standlink.wire.TaskReport;

/**
 * Selects the task reports that a heartbeat contains: those that the leader does not have yet.
 *
 * <p>Changes of state are reported with the next heartbeat. Changed checkpoints and usage of a task
 * are reported with every tenth heartbeat, in turn for different tasks. After a heartbeat without
 * an answer, and to a new leader, all reports are sent.
 *
 * <p>{@code ReportDelta} is mutable and not thread-safe; its owner guards it.
 */
public final class ReportDelta {

    /** The interval between reports on a task's checkpoint and usage, in heartbeats. */
    private static final int REFRESH_HEARTBEATS = 10;

    /** The reports that the leader has, by its last answer. */
    private Map<TaskId, TaskReport> acknowledged = new HashMap<>();

    /** The epoch of the last answer. */
    private Epoch epoch = Epoch.NONE;

    /** Whether the last heartbeat has been answered. */
    private boolean lastAnswered;

    /** The number of the last heartbeat. */
    private long number;

    /** The reports that the leader has once it has answered the last heartbeat. */
    private Map<TaskId, TaskReport> sentState = new HashMap<>();

    /**
     * The reports selected for a heartbeat.
     *
     * @param number the number of the heartbeat
     * @param full whether all tasks are included, so that the leader removes all others
     * @param tasks the task reports
     * @param gone the tasks that the leader has a report of and that no longer exist
     */
    public record Selection(long number, boolean full, List<TaskReport> tasks, List<TaskId> gone) {}

    /**
     * Selects the reports for the next heartbeat.
     *
     * @param reports the reports of all tasks
     * @param leaderEpoch the highest known epoch
     * @return the selected reports
     */
    public Selection selectNext(List<TaskReport> reports, Epoch leaderEpoch) {
        number++;
        boolean full = !lastAnswered || !leaderEpoch.equals(epoch);
        lastAnswered = false;
        sentState = full ? new HashMap<>() : new HashMap<>(acknowledged);
        List<TaskReport> selected = new ArrayList<>();
        Map<TaskId, TaskReport> current = new HashMap<>();
        for (TaskReport report : reports) {
            current.put(report.task(), report);
            if (full || isReportDue(report)) {
                selected.add(report);
                sentState.put(report.task(), report);
            }
        }
        List<TaskId> gone = new ArrayList<>(sentState.keySet());
        gone.removeAll(current.keySet());
        gone.forEach(sentState::remove);
        return new Selection(number, full, selected, gone);
    }

    /**
     * Records that the last heartbeat has been answered.
     *
     * @param answerEpoch the epoch of the leader that answered
     */
    public void answerReceived(Epoch answerEpoch) {
        epoch = answerEpoch;
        acknowledged = sentState;
        lastAnswered = true;
    }

    private boolean isReportDue(TaskReport report) {
        TaskReport acknowledgedReport = acknowledged.get(report.task());
        if (acknowledgedReport == null
                || acknowledgedReport.state() != report.state()
                || !acknowledgedReport.attempt().equals(report.attempt())) {
            return true;
        }
        boolean isRefreshDue =
                Math.floorMod(report.task().hashCode() + number, (long) REFRESH_HEARTBEATS) == 0;
        return isRefreshDue && !acknowledgedReport.equals(report);
    }
}
