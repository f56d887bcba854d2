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
 * Derives from the answers of a worker whether an incarnation is the current one, and whether it
 * has ended.
 *
 * <p>{@code IncarnationTracker} is mutable and not thread-safe; it is confined to the agent's event
 * loop.
 */
final class IncarnationTracker {

    /**
     * How long a worker that has left may still answer, in milliseconds. One that answers calls
     * made later has not left; the message was sent by an earlier incarnation under its id.
     */
    private static final long DEPARTURE_GRACE_MILLIS = 1000;

    private static final EventLog LOG = EventLog.of(WorkerSupervisor.class);

    private final WorkerIncarnation incarnation;

    private final IncarnationListener listener;

    /** Whether this incarnation has ever answered. */
    private boolean confirmed;

    /**
     * When the departure message was received, on the agent's clock in milliseconds; negative if
     * none was.
     */
    private long departureReceivedAt = -1;

    IncarnationTracker(WorkerIncarnation incarnation, IncarnationListener listener) {
        this.incarnation = incarnation;
        this.listener = listener;
    }

    /**
     * Checks whether this incarnation has answered a call, so that no other had already taken its
     * address.
     *
     * @return true if it has answered
     */
    boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Checks whether another incarnation has answered in place of this one, and notifies the
     * listener if so.
     *
     * @param result the answer
     * @return true if this incarnation has ended
     */
    boolean checkReplaced(RenewalResult result) {
        boolean replaced =
                result.isDone()
                        ? !incarnation.equals(result.incarnation())
                        : result.result().kind() == CallResult.Kind.OTHER_LIFE;
        if (replaced) {
            listener.replaced(incarnation, result.incarnation());
        }
        return replaced;
    }

    /**
     * Records that this incarnation has answered.
     *
     * @param sentAt when it was called, on the agent's clock, in milliseconds
     */
    void answerReceived(long sentAt) {
        if (sentAt > departureReceivedAt + DEPARTURE_GRACE_MILLIS) {
            departureReceivedAt = -1;
        }
        if (!confirmed) {
            confirmed = true;
            listener.confirmed(incarnation);
        }
    }

    /** Records that a call was not answered; a worker that has left is then taken to have ended. */
    void callUnanswered() {
        if (departureReceivedAt >= 0) {
            listener.departed(incarnation);
        }
    }

    /**
     * Records a departure message of the worker or of an earlier incarnation under its id. It was
     * sent by this incarnation if it no longer answers.
     *
     * @param draining whether this incarnation has announced that it is about to leave
     * @param reachable whether it answered the last call
     * @param now the time on the agent's clock, in milliseconds
     */
    void departureReceived(boolean draining, boolean reachable, long now) {
        if (!draining) {
            LOG.info("left-without-draining").with("worker", incarnation).write();
            return;
        }
        departureReceivedAt = now;
        if (!reachable) {
            callUnanswered();
        }
    }
}
