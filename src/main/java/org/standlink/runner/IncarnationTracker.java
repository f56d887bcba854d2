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
package org.standlink.runner;

import org.standlink.job.WorkerIncarnation;
import org.standlink.process.EventLog;

/**
 * Finds out from the answers of a worker whether one life of it is there, and whether it is over.
 *
 * <p>{@code IncarnationTracker} is mutable and not thread-safe; the agent's loop owns it.
 */
final class IncarnationTracker {

    /**
     * How long a worker that has left may still answer, in milliseconds; one that answers calls
     * made later has not left, and the message was one of an earlier life under its id.
     */
    private static final long LEAVE_MILLIS = 1000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    /** The life. */
    private final WorkerIncarnation life;

    /** Is told what is found out. */
    private final IncarnationListener observer;

    /** Whether this life has ever answered. */
    private boolean confirmed;

    /** When the worker said that it has left, on the agent's clock; negative if it did not. */
    private long leftAt = -1;

    /**
     * Constructor.
     *
     * @param life the life
     * @param observer is told what is found out
     */
    IncarnationTracker(WorkerIncarnation life, IncarnationListener observer) {
        this.life = life;
        this.observer = observer;
    }

    /**
     * Checks whether this life has answered a call, so that no other has taken its address before.
     *
     * @return true if so
     */
    boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Checks whether another life has answered in place of this one, and tells so.
     *
     * @param result the answer
     * @return true if this life is over
     */
    boolean checkReplaced(RenewalResult result) {
        boolean other =
                result.isDone()
                        ? !life.equals(result.incarnation())
                        : result.result().kind() == CallResult.Kind.OTHER_LIFE;
        if (other) {
            observer.replaced(life, result.incarnation());
        }
        return other;
    }

    /**
     * Takes note that this life has answered.
     *
     * @param sentAt when it was called, on the agent's clock, in milliseconds
     */
    void answerReceived(long sentAt) {
        if (sentAt > leftAt + LEAVE_MILLIS) {
            leftAt = -1;
        }
        if (!confirmed) {
            confirmed = true;
            observer.confirmed(life);
        }
    }

    /** Takes note that a call was not answered; a worker that has left is over then. */
    void callUnanswered() {
        if (leftAt >= 0) {
            observer.departed(life);
        }
    }

    /**
     * Takes note that the worker, or an earlier life under its id, has said that it has left. That
     * it was this one shows when it does not answer any more.
     *
     * @param draining whether this life has said that it is about to leave
     * @param reachable whether it answered the last call
     * @param now the time on the agent's clock, in milliseconds
     */
    void departureReceived(boolean draining, boolean reachable, long now) {
        if (!draining) {
            LOG.info("left-without-draining").with("worker", life).write();
            return;
        }
        leftAt = now;
        if (!reachable) {
            callUnanswered();
        }
    }
}
