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
 * Where a task stands, as folded from the log.
 *
 * <p>{@code TaskState} is thread-safe and immutable.
 *
 * @param task the task
 * @param phase the phase
 * @param attempt the last attempt
 * @param worker the VM of the last attempt, null if none
 * @param resources what the last attempt may use, null if none
 * @param checkpoint where to resume from, null if none
 * @param failures how many attempts failed
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
        /** Not assigned now. */
        WAITING,
        /** Assigned to a worker. */
        ASSIGNED,
        /** Done. */
        FINISHED
    }

    /**
     * Makes the state of a task that was never assigned.
     *
     * @param task the task
     * @param floor the attempt after which its first one comes
     * @return the state
     */
    public static TaskState ofNew(TaskId task, Attempt floor) {
        return new TaskState(task, Phase.WAITING, floor, null, null, null, 0);
    }

    /**
     * Applies an event, if the event is valid here.
     *
     * @param event an event about this task
     * @return the state after it; this state if the event is void
     */
    public TaskState apply(TaskEvent event) {
        return switch (event.kind()) {
            case ASSIGN -> assign(event);
            case RELEASE -> ends(event) ? waiting(event.checkpoint(), failures) : this;
            case FAIL -> ends(event) ? waiting(event.checkpoint(), failures + 1) : this;
            case FINISH -> ends(event) ? finished() : this;
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

    private boolean ends(TaskEvent event) {
        return phase == Phase.ASSIGNED && event.attempt().equals(attempt);
    }

    private TaskState waiting(String newCheckpoint, int newFailures) {
        String kept = newCheckpoint == null ? checkpoint : newCheckpoint;
        return new TaskState(task, Phase.WAITING, attempt, worker, resources, kept, newFailures);
    }

    private TaskState finished() {
        return new TaskState(task, Phase.FINISHED, attempt, worker, resources, null, failures);
    }
}
