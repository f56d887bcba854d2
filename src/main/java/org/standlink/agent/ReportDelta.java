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
 * Chooses which task reports a heartbeat needs: those that the leader does not have yet.
 *
 * <p>A change of state is told at once; new checkpoints and usage are told in turns, each task's
 * every tenth heartbeat. After a heartbeat without an answer, and to a new leader, everything is
 * told.
 *
 * <p>{@code ReportDelta} is mutable and not thread-safe; its owner guards it.
 */
public final class ReportDelta {

    /** Within how many heartbeats each task's checkpoint and usage are told. */
    private static final int TURNS = 10;

    /** What the leader has, as it has answered. */
    private Map<TaskId, TaskReport> answered = new HashMap<>();

    /** The epoch of the last answer. */
    private Epoch epoch = Epoch.NONE;

    /** Whether the last heartbeat was answered. */
    private boolean complete;

    /** The number of the last heartbeat. */
    private long number;

    /** What the last heartbeat left the leader with, if it is answered. */
    private Map<TaskId, TaskReport> sent = new HashMap<>();

    /**
     * What a heartbeat tells.
     *
     * @param number the number of the heartbeat
     * @param full whether all tasks are told, so that others are forgotten
     * @param tasks the reports told
     * @param gone tasks that the leader has and that are no more
     */
    public record Selection(long number, boolean full, List<TaskReport> tasks, List<TaskId> gone) {}

    /**
     * Chooses what the next heartbeat tells.
     *
     * @param reports everything there is to tell
     * @param leaderEpoch the highest epoch heard of
     * @return the part to tell
     */
    public Selection selectNext(List<TaskReport> reports, Epoch leaderEpoch) {
        number++;
        boolean full = !complete || !leaderEpoch.equals(epoch);
        complete = false;
        sent = full ? new HashMap<>() : new HashMap<>(answered);
        List<TaskReport> told = new ArrayList<>();
        Map<TaskId, TaskReport> present = new HashMap<>();
        for (TaskReport report : reports) {
            present.put(report.task(), report);
            if (full || isNews(report)) {
                told.add(report);
                sent.put(report.task(), report);
            }
        }
        List<TaskId> gone = new ArrayList<>(sent.keySet());
        gone.removeAll(present.keySet());
        gone.forEach(sent::remove);
        return new Selection(number, full, told, gone);
    }

    /**
     * Notes that the last heartbeat was answered.
     *
     * @param answerEpoch the epoch of the leader that answered
     */
    public void answerReceived(Epoch answerEpoch) {
        epoch = answerEpoch;
        answered = sent;
        complete = true;
    }

    private boolean isNews(TaskReport report) {
        TaskReport known = answered.get(report.task());
        if (known == null
                || known.state() != report.state()
                || !known.attempt().equals(report.attempt())) {
            return true;
        }
        boolean turn = Math.floorMod(report.task().hashCode() + number, (long) TURNS) == 0;
        return turn && !known.equals(report);
    }
}
