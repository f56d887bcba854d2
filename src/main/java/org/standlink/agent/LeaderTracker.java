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
 * Knows which agent leads the cell, and when it is this agent's turn to replace it.
 *
 * <p>The agents of a cell take turns in an order drawn for each epoch, so that seldom two of them
 * claim at once; if they do, the log settles it.
 *
 * <p>{@code LeaderTracker} is thread-safe.
 */
final class LeaderTracker {

    /** How much later each next agent claims, in milliseconds. */
    private static final long TURN_MILLIS = 700;

    /** This VM. */
    private final VmId self;

    /** How long the leader is silent before it is replaced, in milliseconds. */
    private final long claimAfterMillis;

    /** The highest epoch heard of. */
    private Epoch epoch = Epoch.NONE;

    /** The leader under it, null if none. */
    private VmId leader;

    /** When the leader last answered, or was first heard of, in milliseconds. */
    private long answeredMillis;

    /**
     * Constructor.
     *
     * @param self this VM
     * @param claimAfterMillis how long the leader is silent before it is replaced, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    LeaderTracker(VmId self, long claimAfterMillis, long nowMillis) {
        this.self = self;
        this.claimAfterMillis = claimAfterMillis;
        this.answeredMillis = nowMillis;
    }

    /**
     * Hears of a leader.
     *
     * @param heardEpoch the epoch
     * @param heardLeader the leader, null if none
     * @param nowMillis the time, in milliseconds
     * @return true if it is news
     */
    synchronized boolean update(Epoch heardEpoch, VmId heardLeader, long nowMillis) {
        if (heardLeader == null || !heardEpoch.isAfter(epoch)) {
            return false;
        }
        epoch = heardEpoch;
        leader = heardLeader;
        answeredMillis = nowMillis;
        return true;
    }

    /**
     * Notes an answer of the leader; one that has lost touch with the log counts as silent.
     *
     * @param logAgeMillis how long ago the leader last read the log, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    synchronized void answerReceived(long logAgeMillis, long nowMillis) {
        if (logAgeMillis < claimAfterMillis) {
            answeredMillis = nowMillis;
        }
    }

    /**
     * Notes that this agent is about to claim, so that it does not claim again at once.
     *
     * @param nowMillis the time, in milliseconds
     */
    synchronized void claimStarted(long nowMillis) {
        answeredMillis = nowMillis;
    }

    /**
     * Checks whether the leader is silent for so long that the log should be asked.
     *
     * @param nowMillis the time, in milliseconds
     * @return true if so, or if no leader is known
     */
    synchronized boolean isLeaderUnresponsive(long nowMillis) {
        return leader == null || nowMillis - answeredMillis >= claimAfterMillis / 2;
    }

    /**
     * Checks whether it is this agent's turn to claim.
     *
     * @param cell the cell
     * @param nowMillis the time, in milliseconds
     * @return true if so
     */
    synchronized boolean isClaimDue(CellSpecification cell, long nowMillis) {
        List<VmId> vms = cell.workers().stream().map(WorkerSpecification::vm).toList();
        CellId id = cell.id();
        int turn = RendezvousHash.order(id + "/" + epoch.next(), vms).indexOf(self);
        return nowMillis - answeredMillis >= claimAfterMillis + turn * TURN_MILLIS;
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
     * Gets the highest epoch heard of.
     *
     * @return the epoch, NONE if there was none
     */
    synchronized Epoch getEpoch() {
        return epoch;
    }
}
