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
 * What is known of the workers that crashed under one task, one after the other: how many did so
 * right after a run had begun, how many later, and how likely it is that the task crashes each
 * worker that starts it.
 *
 * <p>All that begins on a worker shortly before it crashes may have caused that. The suspicion is
 * divided among these tasks, so that it grows to near certainty for a task that crashes one worker
 * after the other, and stays small for those that were beside it once.
 *
 * <p>{@code CrashHistory} is immutable and thread-safe.
 */
final class CrashHistory {

    /** No worker has crashed under the task. */
    static final CrashHistory NONE = new CrashHistory(0, 0, 0);

    /**
     * What counts for a task of which nothing is known: one task in a hundred is taken to crash its
     * workers. With more such tasks no work would be done, whatever is assumed.
     */
    private static final double USUAL = 0.01;

    /**
     * The suspicion from which a task is tried with nothing beside it that has just begun: a few
     * tasks that crashed together reach it in the next crash, a crowd does not in its first.
     */
    private static final double APART = 0.25;

    /**
     * The suspicion from which a task is given up, once several workers have crashed under it: one
     * that crashed three workers alone reaches it, with at most one crash beside that no task
     * explains; one that was first in a crowd with the fourth.
     */
    private static final double CONVINCED = 0.95;

    /**
     * How many workers must have crashed under a task before it may be given up; where workers also
     * crash of themselves, two starts in a row meet with that too often.
     */
    private static final int FEWEST_CRASHES = 3;

    /**
     * How many crashes in a row give a task up, whatever is believed of it: callers bear three and
     * two more starts.
     */
    private static final int MOST_CRASHES = 5;

    /** One as the number that is kept stands for it. */
    private static final int PER_MILLE = 1000;

    /** How many workers crashed right after a run had begun, since one was at work for a while. */
    private final int crashes;

    /** How many workers crashed later, since a run was at work for long. */
    private final int lateCrashes;

    /** How likely it is that the task crashes its workers, 0 to 1; 0 if nothing speaks for it. */
    private final double suspicion;

    private CrashHistory(int crashes, int lateCrashes, double suspicion) {
        this.crashes = crashes;
        this.lateCrashes = lateCrashes;
        this.suspicion = suspicion;
    }

    /**
     * Makes a history of what was kept.
     *
     * @param crashes how many workers crashed right after a run had begun
     * @param lateCrashes how many workers crashed later
     * @param perMille the suspicion, in thousandths
     * @return the history
     */
    static CrashHistory of(int crashes, int lateCrashes, int perMille) {
        double suspicion = clip((double) perMille / PER_MILLE);
        return new CrashHistory(Math.max(0, crashes), Math.max(0, lateCrashes), suspicion);
    }

    private static double clip(double value) {
        return Math.max(0, Math.min(1, value));
    }

    // -----------------------------------------------------------------------
    /**
     * Returns this history with one more crash, which came when the run had been at work for a
     * while.
     *
     * @return the history
     */
    CrashHistory withLateCrash() {
        return new CrashHistory(crashes, lateCrashes + 1, suspicion);
    }

    /**
     * Returns this history with one more crash, which came right after a run had begun.
     *
     * @param likelihood how likely it is that the task crashes its workers, 0 to 1
     * @return the history
     */
    CrashHistory withStartupCrash(double likelihood) {
        return new CrashHistory(crashes + 1, lateCrashes, clip(likelihood));
    }

    /**
     * Returns this history after another task was found to have caused some of the crashes. Their
     * number stays, since both may have.
     *
     * @return the history, without suspicion
     */
    CrashHistory withoutSuspicion() {
        return new CrashHistory(crashes, lateCrashes, 0);
    }

    /**
     * Returns this history after a run was at work for a while, so that its start crashes no
     * worker.
     *
     * @return the history, with late crashes only
     */
    CrashHistory withProvenStart() {
        return crashes == 0 && suspicion == 0 ? this : new CrashHistory(0, lateCrashes, 0);
    }

    // -----------------------------------------------------------------------
    /**
     * Gets how many workers crashed right after a run had begun, since one was at work for a while.
     *
     * @return the number
     */
    int getStartupCrashes() {
        return crashes;
    }

    /**
     * Gets how many workers crashed later, since a run was at work for long.
     *
     * @return the number
     */
    int getLateCrashes() {
        return lateCrashes;
    }

    /**
     * Gets the suspicion as it is kept.
     *
     * @return the suspicion, in thousandths
     */
    int getSuspicionPerMille() {
        return (int) Math.round(suspicion * PER_MILLE);
    }

    /**
     * Gets what the task weighs among those that may have caused a crash.
     *
     * @return the suspicion, or what counts for any task
     */
    double getWeight() {
        return Math.max(USUAL, suspicion);
    }

    /**
     * Checks whether the task is suspected more than any other.
     *
     * @return true if so
     */
    boolean isSuspected() {
        return suspicion > USUAL;
    }

    /**
     * Checks whether the task is to be tried with nothing beside it that has just begun.
     *
     * @return true if so
     */
    boolean requiresIsolation() {
        return isLikelyCause() || crashes >= FEWEST_CRASHES;
    }

    /**
     * Checks whether no run is to begin while it is not known whether the last worker has crashed.
     *
     * @return true if one or two more crashes give the task up
     */
    boolean requiresKnownOutcome() {
        return crashes >= FEWEST_CRASHES;
    }

    /**
     * Checks whether the task is to wait until it can be tried so.
     *
     * @return true if several workers have crashed under it
     */
    boolean mustWaitForIsolation() {
        return requiresIsolation() && crashes >= FEWEST_CRASHES - 1;
    }

    /**
     * Checks whether the task may well have caused the crashes that it was in.
     *
     * @return true if it is suspected that much
     */
    boolean isLikelyCause() {
        return suspicion >= APART;
    }

    /**
     * Checks whether the task is given up.
     *
     * @return true if it is taken to crash each worker that starts it
     */
    boolean isFailedPermanently() {
        boolean convinced = crashes >= FEWEST_CRASHES && suspicion >= CONVINCED;
        return convinced || crashes >= MOST_CRASHES || lateCrashes >= MOST_CRASHES;
    }

    // -----------------------------------------------------------------------
    @Override
    public boolean equals(Object object) {
        return object instanceof CrashHistory other
                && crashes == other.crashes
                && lateCrashes == other.lateCrashes
                && suspicion == other.suspicion;
    }

    @Override
    public int hashCode() {
        return Objects.hash(crashes, lateCrashes, suspicion);
    }

    @Override
    public String toString() {
        return crashes
                + " crashes, "
                + lateCrashes
                + " late, "
                + getSuspicionPerMille()
                + " per mille";
    }
}
