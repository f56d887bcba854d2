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
package org.standlink.election;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.standlink.Incarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.store.KeyedStore;
import org.standlink.store.Topic;

/**
 * Claims the leadership of a cell when there is no leader or the leader is unresponsive.
 *
 * <p>A leader that does not answer this process may still answer others. An unresponsive leader is
 * therefore replaced only if the store has had no new record of it for a while either; a leader
 * writes one at least every {@code CommitQueue.HEARTBEAT_MILLIS}.
 *
 * <p>{@code Candidate} is thread-safe.
 */
public final class Candidate implements LeaderObserver {

    /**
     * How long the leader must have been without an answer to this process, or without the store,
     * before the store is checked for its records, in milliseconds. An agent receives an answer of
     * its leader every 500 ms.
     */
    static final long WATCH_DELAY_MILLIS = 600;

    /**
     * After how long without an answer a leader is suspected, in milliseconds: two intervals
     * between the reports of an agent.
     */
    static final long SUSPECT_TIMEOUT_MILLIS = 1100;

    /**
     * How long the store must have had no new record of a suspected leader, in milliseconds: four
     * intervals between its records. In a store slowed down seventyfold one record takes half of
     * this time.
     */
    static final long STORE_SILENCE_MILLIS = 1200;

    /**
     * How long the store must have had no new record of a leader that is absent from its address,
     * in milliseconds: longer than the interval between two of its records, in case the leader is
     * unreachable for this process only.
     */
    static final long ABSENT_LEADER_SILENCE_MILLIS = 350;

    /**
     * How long a leader must have been without the store to be replaced, in milliseconds. After an
     * outage that affects all processes, the leader tries again within one call and one pause.
     */
    static final long LEADER_STORE_OUTAGE_MILLIS = 1500;

    private static final EventLog LOG = EventLog.of(Candidate.class);
    private final KeyedStore store;
    private final MonotonicClock clock;

    /** The address at which this process listens, host and port. */
    private final String address;

    private final Incarnation self;

    private final ClaimWriter claims;

    /** The newest claim; guarded by this. */
    private Claim newestClaim = Claim.NONE;

    /** When the leader last answered this process, or its claim was read; guarded by this. */
    private long lastAnswerMillis;

    /**
     * Since when the store has had no new record of the leader, negative if that is not known;
     * guarded by this.
     */
    private long silentSinceMillis = -1;

    /** The end offset of the cell's topic since then; guarded by this. */
    private long silentEndOffset;

    /** How long the leader reported to be without the store, in milliseconds; guarded by this. */
    private long leaderStoreSilentMillis;

    /** Whether no process leads at the leader's address; guarded by this. */
    private boolean absent;

    /** Whether a call to the store is in progress; guarded by this. */
    private boolean callInProgress;

    /**
     * Creates a candidate that knows no claim.
     *
     * @param store the store
     * @param clock the clock
     * @param address the address at which this process listens, host and port
     * @param self the incarnation of this process
     * @param claims writes the claims of this process
     */
    public Candidate(
            KeyedStore store,
            MonotonicClock clock,
            String address,
            Incarnation self,
            ClaimWriter claims) {
        this.store = store;
        this.clock = clock;
        this.address = address;
        this.self = self;
        this.claims = claims;
        this.lastAnswerMillis = clock.nowMillis() - SUSPECT_TIMEOUT_MILLIS;
    }

    /**
     * Applies a claim that was read from the store; one of an older epoch is ignored.
     *
     * @param claim the claim
     */
    public synchronized void observeClaim(Claim claim) {
        if (claim.epoch().compareTo(newestClaim.epoch()) >= 0) {
            if (!newestClaim.equals(Claim.NONE)) {
                // A new leader reads the state before it answers and writes. A leader from before
                // the start of this process is not given that time.
                lastAnswerMillis = clock.nowMillis();
            }
            newestClaim = claim;
            silentSinceMillis = -1;
            absent = false;
            leaderStoreSilentMillis = 0;
        }
    }

    @Override
    public synchronized void leaderAnswered(long storeSilentMillis) {
        lastAnswerMillis = clock.nowMillis();
        leaderStoreSilentMillis = storeSilentMillis;
        absent = false;
        if (leaderStoreSilentMillis < WATCH_DELAY_MILLIS) {
            silentSinceMillis = -1;
        }
    }

    @Override
    public synchronized void leaderAbsent() {
        absent = true;
    }

    /** Decides whether to claim the leadership; to be called several times a second. */
    public void tick() {
        synchronized (this) {
            boolean leads = newestClaim.isHeld() && newestClaim.holder().equals(self);
            if (callInProgress || leads || !claims.isReady() || !mustCheckStore()) {
                return;
            }
            if (!newestClaim.isHeld()) {
                claimVacantLeadership();
                return;
            }
            if (newestClaim.address().equals(address)) {
                // The claim is of an earlier process, since this process has the address now.
                sendClaim("the leader was at this address");
                return;
            }
            callInProgress = true;
        }
        callStore(() -> store.readEnd(Topic.CELL), this::endReceived);
    }

    // -----------------------------------------------------------------------
    /**
     * Claims the leadership while there is no leader. A process that has resigned, possibly after a
     * failure, waits so that others can claim first.
     */
    private void claimVacantLeadership() {
        boolean hasResigned = newestClaim.holder().equals(self);
        if (!hasResigned || clock.nowMillis() - lastAnswerMillis >= SUSPECT_TIMEOUT_MILLIS) {
            sendClaim("no leader");
        }
    }

    private boolean mustCheckStore() {
        return !newestClaim.isHeld()
                || newestClaim.address().equals(address)
                || absent
                || leaderStoreSilentMillis >= WATCH_DELAY_MILLIS
                || clock.nowMillis() - lastAnswerMillis >= WATCH_DELAY_MILLIS;
    }

    /** Decides by how long the store has had no new record of the leader. */
    private boolean mustReplace(long silentMillis) {
        boolean suspected = clock.nowMillis() - lastAnswerMillis >= SUSPECT_TIMEOUT_MILLIS;
        return absent && silentMillis >= ABSENT_LEADER_SILENCE_MILLIS
                || suspected && silentMillis >= STORE_SILENCE_MILLIS
                || leaderStoreSilentMillis >= LEADER_STORE_OUTAGE_MILLIS
                        && silentMillis >= STORE_SILENCE_MILLIS;
    }

    private synchronized void endReceived(Long end, Throwable failure) {
        callInProgress = false;
        if (failure != null) {
            // Without the store no process can claim; the silence is measured anew afterwards.
            silentSinceMillis = -1;
            return;
        }
        long now = clock.nowMillis();
        if (silentSinceMillis < 0 || end != silentEndOffset) {
            silentSinceMillis = now;
            silentEndOffset = end;
        } else if (mustReplace(now - silentSinceMillis)) {
            sendClaim("silent for " + (now - silentSinceMillis) + " ms");
        }
    }

    private void sendClaim(String reason) {
        Claim claim = new Claim(newestClaim.epoch().next(), address, self);
        LOG.info("claim").with("epoch", claim.epoch()).with("reason", reason).write();
        callInProgress = true;
        callStore(() -> claims.write(claim), (end, failure) -> claimCompleted(claim, failure));
    }

    /** Calls the store; if that throws, the next call must still be possible. */
    private void callStore(
            Supplier<CompletableFuture<Long>> call, BiConsumer<Long, Throwable> callback) {
        boolean sent = false;
        try {
            Guarded.onCompletion("candidate", call.get(), callback);
            sent = true;
        } finally {
            if (!sent) {
                callFailed();
            }
        }
    }

    private synchronized void callFailed() {
        callInProgress = false;
    }

    private synchronized void claimCompleted(Claim claim, Throwable failure) {
        // The winner is read from the topic, also if the answer to this claim was lost.
        callInProgress = false;
        silentSinceMillis = -1;
        if (failure != null) {
            LOG.info("claim-not-taken")
                    .with("epoch", claim.epoch())
                    .with("cause", failure.getMessage())
                    .write();
        }
    }
}
