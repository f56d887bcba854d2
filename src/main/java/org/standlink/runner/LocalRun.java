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
 * A run that the leader wants started or stopped on the worker beside this agent.
 *
 * <p>{@code LocalRun} is mutable and not thread-safe.
 */
final class LocalRun {

    /** The share of a run that another process may have throttled. */
    static final int UNKNOWN_SHARE = -1;

    /** How far it is. */
    enum Phase {
        /** The worker has not said yet that it runs. */
        STARTING,
        /** The worker has said that it runs. */
        RUNNING,
        /** The worker has not said yet that it will stop it. */
        STOPPING,
        /** The worker has said that it will stop it; its end has not been listed. */
        STOPPED
    }

    /** The run. */
    private final RunId run;

    /** The order to start it, null if there was only one to stop it. */
    private final StartOrder order;

    /** How far it is. */
    private Phase phase;

    /** Whether a call about it is under way. */
    private boolean calling;

    /** Whether a call to start it was left without an answer, so that it may be done late. */
    private boolean uncertain;

    /** Whether its start has waited for the worker or for a lease. */
    private boolean waited;

    /** Since when it may be at work, as an earlier process may have started it; or negative. */
    private long maybeAtWorkSince = -1;

    /** When the worker said that it will stop it. */
    private long stoppedAt;

    /** The share of time for which it works, in percent; {@link #UNKNOWN_SHARE} if not known. */
    private int share = ThrottlePolicy.FULL_SHARE_PERCENT;

    /**
     * Constructor.
     *
     * @param run the run
     * @param order the order to start it, null if there was only one to stop it
     * @param phase how far it is
     */
    LocalRun(RunId run, StartOrder order, Phase phase) {
        this.run = run;
        this.order = order;
        this.phase = phase;
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the run.
     *
     * @return the run
     */
    RunId getRun() {
        return run;
    }

    /**
     * Gets the order to start it.
     *
     * @return the order, null if there was only one to stop it
     */
    StartOrder getOrder() {
        return order;
    }

    /**
     * Gets how far it is.
     *
     * @return the phase
     */
    Phase getPhase() {
        return phase;
    }

    /**
     * Checks whether the worker is being told, or has been told, to stop it.
     *
     * @return true if so
     */
    boolean isStopOrdered() {
        return phase == Phase.STOPPING || phase == Phase.STOPPED;
    }

    /**
     * Sets how far it is.
     *
     * @param next the phase
     */
    void setPhase(Phase next) {
        phase = next;
    }

    /**
     * Checks whether a call about it is under way.
     *
     * @return true if so
     */
    boolean isCallInProgress() {
        return calling;
    }

    /**
     * Sets whether a call about it is under way.
     *
     * @param under whether so
     */
    void setCallInProgress(boolean under) {
        calling = under;
    }

    /**
     * Checks whether a call to start it was left without an answer.
     *
     * @return true if so
     */
    boolean isStartOutcomeUnknown() {
        return uncertain;
    }

    /** Takes note that a call to start it was left without an answer. */
    void setStartOutcomeUnknown() {
        uncertain = true;
    }

    /**
     * Takes note that its start waits.
     *
     * @return false if it has waited before
     */
    boolean markStartDeferred() {
        boolean first = !waited;
        waited = true;
        return first;
    }

    /**
     * Takes note that an earlier process of the agent may have started it.
     *
     * @param now the time on the agent's clock
     */
    void setPossiblyRunning(long now) {
        maybeAtWorkSince = now;
    }

    /**
     * Checks whether an earlier process may have started it, and no list has shown otherwise.
     *
     * @return true if so
     */
    boolean isPossiblyRunning() {
        return maybeAtWorkSince >= 0;
    }

    /**
     * Takes note of a list that does not name it as running.
     *
     * @param askedAt when the worker was asked, on the agent's clock
     */
    void markNotListed(long askedAt) {
        if (askedAt >= maybeAtWorkSince) {
            maybeAtWorkSince = -1;
        }
    }

    /**
     * Gets when the worker said that it will stop it.
     *
     * @return the time on the agent's clock
     */
    long getStoppedAt() {
        return stoppedAt;
    }

    /**
     * Takes note that the worker will stop it.
     *
     * @param now the time on the agent's clock
     */
    void markStopped(long now) {
        phase = Phase.STOPPED;
        stoppedAt = now;
    }

    /**
     * Gets the share of time for which it works.
     *
     * @return the share, in percent
     */
    int getShare() {
        return share;
    }

    /**
     * Sets the share of time for which it works.
     *
     * @param percent the share, in percent
     */
    void setShare(int percent) {
        share = percent;
    }
}
