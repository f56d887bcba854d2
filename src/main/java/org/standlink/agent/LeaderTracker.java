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

import java.util.List;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.RendezvousHash;
import org.standlink.VmId;
import org.standlink.bundle.CellSpecification;
import org.standlink.bundle.WorkerSpecification;

/**
 * Tracks which agent leads the cell, and determines when this agent may claim leadership.
 *
 * <p>The agents of a cell claim in an order that is derived from the epoch by hashing, so that
 * simultaneous claims are rare; if they happen, the log decides between them.
 *
 * <p>{@code LeaderTracker} is thread-safe.
 */
final class LeaderTracker {

    /** The delay between the claims of successive agents in the order, in milliseconds. */
    private static final long CLAIM_STAGGER_MILLIS = 700;

    private final VmId self;
    private final long claimAfterMillis;

    /** The highest known epoch. */
    private Epoch epoch = Epoch.NONE;

    /** The leader of the highest known epoch, null if none is known. */
    private VmId leader;

    /**
     * When the leader last answered or became known, or this agent last started a claim, in
     * milliseconds.
     */
    private long lastAnswerMillis;

    /**
     * Creates a tracker without a known leader.
     *
     * @param self this VM
     * @param claimAfterMillis how long the leader may be unresponsive before an agent claims
     *     leadership, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    LeaderTracker(VmId self, long claimAfterMillis, long nowMillis) {
        this.self = self;
        this.claimAfterMillis = claimAfterMillis;
        this.lastAnswerMillis = nowMillis;
    }

    /**
     * Updates the leader; one of an epoch that is not higher than the known one is ignored.
     *
     * @param newEpoch the epoch
     * @param newLeader the leader, null if none
     * @param nowMillis the current time, in milliseconds
     * @return true if the leader has changed
     */
    synchronized boolean update(Epoch newEpoch, VmId newLeader, long nowMillis) {
        if (newLeader == null || !newEpoch.isAfter(epoch)) {
            return false;
        }
        epoch = newEpoch;
        leader = newLeader;
        lastAnswerMillis = nowMillis;
        return true;
    }

    /**
     * Records an answer of the leader. A leader that cannot reach the log counts as unresponsive.
     *
     * @param logAgeMillis the time since the leader last read the log, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    synchronized void answerReceived(long logAgeMillis, long nowMillis) {
        if (logAgeMillis < claimAfterMillis) {
            lastAnswerMillis = nowMillis;
        }
    }

    /**
     * Records that this agent starts a claim, so that it does not repeat it immediately.
     *
     * @param nowMillis the current time, in milliseconds
     */
    synchronized void claimStarted(long nowMillis) {
        lastAnswerMillis = nowMillis;
    }

    /**
     * Checks whether the leader has been unresponsive for half the time before a claim, so that the
     * log should be read.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true if so, or if no leader is known
     */
    synchronized boolean isLeaderUnresponsive(long nowMillis) {
        return leader == null || nowMillis - lastAnswerMillis >= claimAfterMillis / 2;
    }

    /**
     * Checks whether this agent should claim leadership.
     *
     * @param cell the cell
     * @param nowMillis the current time, in milliseconds
     * @return true if so
     */
    synchronized boolean isClaimDue(CellSpecification cell, long nowMillis) {
        List<VmId> vms = cell.workers().stream().map(WorkerSpecification::vm).toList();
        CellId id = cell.id();
        int position = RendezvousHash.order(id + "/" + epoch.next(), vms).indexOf(self);
        return nowMillis - lastAnswerMillis >= claimAfterMillis + position * CLAIM_STAGGER_MILLIS;
    }

    /**
     * Gets the leader.
     *
     * @return the leader, null if none is known
     */
    synchronized VmId getLeader() {
        return leader;
    }

    /**
     * Gets the highest known epoch.
     *
     * @return the epoch, {@code NONE} if none is known
     */
    synchronized Epoch getEpoch() {
        return epoch;
    }
}
