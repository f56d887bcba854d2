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
package org.standlink.log;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.standlink.Attempt;
import org.standlink.Resources;
import org.standlink.TaskId;
import org.standlink.VmId;

/**
 * The state of a task, as folded from the log.
 *
 * <p>{@code TaskState} is thread-safe and immutable.
 *
 * @param task the task
 * @param phase the phase
 * @param attempt the last attempt
 * @param worker the VM of the last attempt, null if there is none
 * @param resources the resources that the last attempt may use, null if there is none
 * @param checkpoint the checkpoint to resume from, null if there is none
 * @param failures the number of failed attempts
 */
public record TaskState(
        TaskId task,
        Phase phase,
        Attempt attempt,
        VmId worker,
        Resources resources,
        String checkpoint,
        int failures) {

    /** The phases of a task. */
    public enum Phase {
        /** Not assigned. */
        WAITING,
        /** Assigned to a worker. */
        ASSIGNED,
        /** Complete. */
        FINISHED
    }

    /**
     * Creates the state of a task that has never been assigned.
     *
     * @param task the task
     * @param floor the attempt that the first attempt of the task follows
     * @return the state
     */
    public static TaskState ofNew(TaskId task, Attempt floor) {
        return new TaskState(task, Phase.WAITING, floor, null, null, null, 0);
    }

    /**
     * Applies an event if it is valid in this state.
     *
     * @param event an event of this task
     * @return the state after the event; this state if the event is not valid
     */
    public TaskState apply(TaskEvent event) {
        return switch (event.kind()) {
            case ASSIGN -> assign(event);
            case RELEASE ->
                    endsCurrentAttempt(event) ? toWaiting(event.checkpoint(), failures) : this;
            case FAIL ->
                    endsCurrentAttempt(event) ? toWaiting(event.checkpoint(), failures + 1) : this;
            case FINISH -> endsCurrentAttempt(event) ? toFinished() : this;
        };
    }

    /**
     * Checks whether an attempt of the task may be running.
     *
     * @return true if assigned
     */
    @JsonIgnore
    public boolean isAssigned() {
        return phase == Phase.ASSIGNED;
    }

    // -----------------------------------------------------------------------
    private TaskState assign(TaskEvent event) {
        if (phase != Phase.WAITING || !event.attempt().equals(attempt.next())) {
            return this;
        }
        return new TaskState(
                task,
                Phase.ASSIGNED,
                event.attempt(),
                event.worker(),
                event.resources(),
                checkpoint,
                failures);
    }

    private boolean endsCurrentAttempt(TaskEvent event) {
        return phase == Phase.ASSIGNED && event.attempt().equals(attempt);
    }

    private TaskState toWaiting(String newCheckpoint, int newFailures) {
        String latestCheckpoint = newCheckpoint == null ? checkpoint : newCheckpoint;
        return new TaskState(
                task, Phase.WAITING, attempt, worker, resources, latestCheckpoint, newFailures);
    }

    private TaskState toFinished() {
        return new TaskState(task, Phase.FINISHED, attempt, worker, resources, null, failures);
    }
}
