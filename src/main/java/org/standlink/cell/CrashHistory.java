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
package org.standlink.cell;

import java.util.Objects;

/**
 * The successive crashes of workers under one task: how many workers crashed right after a run had
 * started, how many later, and how likely it is that the task crashes every worker that starts it.
 *
 * <p>All tasks that start on a worker shortly before it crashes may have caused the crash. The
 * suspicion is divided among them, so that it approaches certainty for a task that crashes one
 * worker after the other, and stays small for tasks that ran beside it once.
 *
 * <p>{@code CrashHistory} is immutable and thread-safe.
 */
final class CrashHistory {

    /** No worker has crashed under the task. */
    static final CrashHistory NONE = new CrashHistory(0, 0, 0);

    /**
     * The prior suspicion: one task in a hundred is assumed to crash its workers. With more such
     * tasks no work could be done, whatever is assumed.
     */
    private static final double PRIOR_SUSPICION = 0.01;

    /**
     * The suspicion from which a task is isolated from other tasks that have just started. A few
     * tasks that crashed together reach it with the next crash, a large group does not with its
     * first one.
     */
    private static final double ISOLATION_THRESHOLD = 0.25;

    /**
     * The suspicion from which a task fails permanently, once several workers have crashed under
     * it. A task that was alone when it crashed three workers reaches it, with at most one other
     * unexplained crash; one that was first in a large group reaches it with the fourth crash.
     */
    private static final double FAILURE_THRESHOLD = 0.95;

    /**
     * The minimum number of crashes before a task may fail permanently. Where workers also crash
     * for other reasons, a task meets with two crashes in a row too often.
     */
    private static final int MIN_CRASHES = 3;

    /**
     * The number of successive crashes from which a task fails permanently, whatever its suspicion:
     * callers tolerate three crashing starts and two more.
     */
    private static final int MAX_CRASHES = 5;

    /** The stored value of a suspicion of 1. */
    private static final int PER_MILLE = 1000;

    /** Crashes right after the start of a run, since a run last stayed up for a while. */
    private final int startupCrashes;

    /** Crashes after the start phase, since a run last stayed up for long. */
    private final int lateCrashes;

    /** The likelihood that the task crashes its workers, 0 to 1; 0 without evidence. */
    private final double suspicion;

    private CrashHistory(int startupCrashes, int lateCrashes, double suspicion) {
        this.startupCrashes = startupCrashes;
        this.lateCrashes = lateCrashes;
        this.suspicion = suspicion;
    }

    /**
     * Creates a history from its stored values.
     *
     * @param startupCrashes how many workers crashed right after a run had started
     * @param lateCrashes how many workers crashed later
     * @param perMille the suspicion, in thousandths
     * @return the history
     */
    static CrashHistory of(int startupCrashes, int lateCrashes, int perMille) {
        double suspicion = clamp((double) perMille / PER_MILLE);
        return new CrashHistory(Math.max(0, startupCrashes), Math.max(0, lateCrashes), suspicion);
    }

    private static double clamp(double value) {
        return Math.max(0, Math.min(1, value));
    }

    // -----------------------------------------------------------------------
    /**
     * Returns this history with one more crash, of a worker where the run had been running for a
     * while.
     *
     * @return the new history
     */
    CrashHistory withLateCrash() {
        return new CrashHistory(startupCrashes, lateCrashes + 1, suspicion);
    }

    /**
     * Returns this history with one more crash, of a worker where a run had just started.
     *
     * @param likelihood the likelihood that the task crashes its workers, 0 to 1
     * @return the new history
     */
    CrashHistory withStartupCrash(double likelihood) {
        return new CrashHistory(startupCrashes + 1, lateCrashes, clamp(likelihood));
    }

    /**
     * Returns this history after another task was found to have caused some of the crashes. The
     * number of crashes stays, since both tasks may have caused them.
     *
     * @return the new history, without suspicion
     */
    CrashHistory withoutSuspicion() {
        return new CrashHistory(startupCrashes, lateCrashes, 0);
    }

    /**
     * Returns this history after a run has been running for a while, which shows that its start
     * crashes no worker.
     *
     * @return the new history, with late crashes only
     */
    CrashHistory withProvenStart() {
        return startupCrashes == 0 && suspicion == 0 ? this : new CrashHistory(0, lateCrashes, 0);
    }

    // -----------------------------------------------------------------------
    /**
     * Gets how many workers crashed right after a run had started, since a run last stayed up for a
     * while.
     *
     * @return the number
     */
    int getStartupCrashes() {
        return startupCrashes;
    }

    /**
     * Gets how many workers crashed later, since a run last stayed up for long.
     *
     * @return the number
     */
    int getLateCrashes() {
        return lateCrashes;
    }

    /**
     * Gets the suspicion in its stored form.
     *
     * @return the suspicion, in thousandths
     */
    int getSuspicionPerMille() {
        return (int) Math.round(suspicion * PER_MILLE);
    }

    /**
     * Gets the weight of the task among those that may have caused a crash.
     *
     * @return the suspicion, at least the prior one
     */
    double getWeight() {
        return Math.max(PRIOR_SUSPICION, suspicion);
    }

    /**
     * Checks whether the suspicion is above the prior one.
     *
     * @return true if so
     */
    boolean isSuspected() {
        return suspicion > PRIOR_SUSPICION;
    }

    /**
     * Checks whether the task is to be isolated from other tasks that have just started.
     *
     * @return true if so
     */
    boolean requiresIsolation() {
        return isLikelyCause() || startupCrashes >= MIN_CRASHES;
    }

    /**
     * Checks whether no run may start while it is unknown whether the previous worker has crashed.
     *
     * @return true if one or two more crashes make the task fail permanently
     */
    boolean requiresKnownOutcome() {
        return startupCrashes >= MIN_CRASHES;
    }

    /**
     * Checks whether the task has to wait until it can be isolated.
     *
     * @return true if several workers have crashed under it
     */
    boolean mustWaitForIsolation() {
        return requiresIsolation() && startupCrashes >= MIN_CRASHES - 1;
    }

    /**
     * Checks whether the task is likely to have caused the crashes that it was involved in.
     *
     * @return true if the suspicion is high enough for isolation
     */
    boolean isLikelyCause() {
        return suspicion >= ISOLATION_THRESHOLD;
    }

    /**
     * Checks whether the task has failed permanently.
     *
     * @return true if it is considered to crash each worker that starts it
     */
    boolean isFailedPermanently() {
        boolean certain = startupCrashes >= MIN_CRASHES && suspicion >= FAILURE_THRESHOLD;
        return certain || startupCrashes >= MAX_CRASHES || lateCrashes >= MAX_CRASHES;
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object object) {
        return object instanceof CrashHistory other
                && startupCrashes == other.startupCrashes
                && lateCrashes == other.lateCrashes
                && suspicion == other.suspicion;
    }

    @Override
    public int hashCode() {
        return Objects.hash(startupCrashes, lateCrashes, suspicion);
    }

    @Override
    public String toString() {
        return startupCrashes
                + " crashes, "
                + lateCrashes
                + " late, "
                + getSuspicionPerMille()
                + " per mille";
    }
}
