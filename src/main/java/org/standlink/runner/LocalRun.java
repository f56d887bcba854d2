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

import org.standlink.job.RunId;
import org.standlink.wire.StartOrder;

/**
 * A run that the leader has ordered to start or stop on a worker of this agent.
 *
 * <p>{@code LocalRun} is mutable and not thread-safe.
 */
final class LocalRun {

    /** The share of a run that an earlier process of the agent may have throttled. */
    static final int UNKNOWN_SHARE = -1;

    /** The phase of a run on the worker. */
    enum Phase {
        /** The worker has not yet confirmed that it runs. */
        STARTING,
        /** The worker has confirmed that it runs. */
        RUNNING,
        /** The worker has not yet accepted the order to stop it. */
        STOPPING,
        /** The worker has accepted the order to stop it; its end has not been listed yet. */
        STOPPED
    }

    private final RunId run;

    /** The order to start it, null if only a stop was ordered. */
    private final StartOrder order;

    private Phase phase;

    /** Whether a call for this run is in progress. */
    private boolean callInProgress;

    /** Whether a start call was not answered, so that it may be carried out late. */
    private boolean startOutcomeUnknown;

    /**
     * When a list was requested that shows whether a start call was carried out, on the agent's
     * clock in milliseconds; negative if none is awaited.
     */
    private long listAwaitedSince = -1;

    /** Whether its start has been deferred until the worker answers or a lease is granted. */
    private boolean startDeferred;

    /**
     * When the order was received again, if an earlier process may have started the run, on the
     * agent's clock in milliseconds; negative otherwise.
     */
    private long possiblyRunningSince = -1;

    /** When the worker accepted the stop, on the agent's clock, in milliseconds. */
    private long stoppedAt;

    /** The share of time for which it may run, in percent, or {@link #UNKNOWN_SHARE}. */
    private int share = ThrottlePolicy.FULL_SHARE_PERCENT;

    LocalRun(RunId run, StartOrder order, Phase phase) {
        this.run = run;
        this.order = order;
        this.phase = phase;
    }

    // -----------------------------------------------------------------------
    RunId getRun() {
        return run;
    }

    /**
     * Gets the order to start it.
     *
     * @return the order, null if only a stop was ordered
     */
    StartOrder getOrder() {
        return order;
    }

    Phase getPhase() {
        return phase;
    }

    /**
     * Checks whether the worker is being called, or has been called, to stop it.
     *
     * @return true if a stop was ordered
     */
    boolean isStopOrdered() {
        return phase == Phase.STOPPING || phase == Phase.STOPPED;
    }

    void setPhase(Phase next) {
        phase = next;
    }

    boolean isCallInProgress() {
        return callInProgress;
    }

    void setCallInProgress(boolean inProgress) {
        callInProgress = inProgress;
    }

    /**
     * Checks whether a start call was not answered, so that it may be carried out late.
     *
     * @return true if the outcome of a start is unknown
     */
    boolean isStartOutcomeUnknown() {
        return startOutcomeUnknown;
    }

    /** Records that a start call was not answered. */
    void setStartOutcomeUnknown() {
        startOutcomeUnknown = true;
    }

    /**
     * Makes its next start call wait for a list.
     *
     * @param now the time on the agent's clock, in milliseconds
     */
    void awaitList(long now) {
        listAwaitedSince = now;
    }

    /**
     * Ends the wait for a list if the list was requested late enough.
     *
     * @param requestedAt when the received list was requested, on the agent's clock, in
     *     milliseconds
     * @return true if the start call waited for this list
     */
    boolean takeAwaitedList(long requestedAt) {
        boolean awaited = listAwaitedSince >= 0 && requestedAt >= listAwaitedSince;
        if (awaited) {
            listAwaitedSince = -1;
        }
        return awaited;
    }

    /**
     * Records that its start is deferred.
     *
     * @return false if it has been deferred before
     */
    boolean markStartDeferred() {
        boolean first = !startDeferred;
        startDeferred = true;
        return first;
    }

    /**
     * Records that an earlier process of the agent may have started it.
     *
     * @param now the time on the agent's clock, in milliseconds
     */
    void setPossiblyRunning(long now) {
        possiblyRunningSince = now;
    }

    /**
     * Checks whether an earlier process of the agent may have started it, and no later list shows
     * that it does not run.
     *
     * @return true if it may be running
     */
    boolean isPossiblyRunning() {
        return possiblyRunningSince >= 0;
    }

    /**
     * Records that a list does not contain it as running.
     *
     * @param requestedAt when the list was requested, on the agent's clock, in milliseconds
     */
    void markNotListed(long requestedAt) {
        if (requestedAt >= possiblyRunningSince) {
            possiblyRunningSince = -1;
        }
    }

    /**
     * Gets the time at which the worker accepted the stop.
     *
     * @return the time on the agent's clock, in milliseconds
     */
    long getStoppedAt() {
        return stoppedAt;
    }

    /**
     * Records that the worker has accepted the stop.
     *
     * @param now the time on the agent's clock, in milliseconds
     */
    void markStopped(long now) {
        phase = Phase.STOPPED;
        stoppedAt = now;
    }

    /**
     * Gets the share of time for which it may run.
     *
     * @return the share in percent, or {@link #UNKNOWN_SHARE}
     */
    int getShare() {
        return share;
    }

    /**
     * Sets the share of time for which it may run.
     *
     * @param percent the share in percent, or {@link #UNKNOWN_SHARE}
     */
    void setShare(int percent) {
        share = percent;
    }
}
