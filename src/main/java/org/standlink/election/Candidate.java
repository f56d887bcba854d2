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

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.standlink.Incarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.store.KeyedRecord;
import org.standlink.store.KeyedStore;
import org.standlink.store.Topic;

/**
 * Claims the leadership of a cell when there is no leader or it has been silent.
 *
 * <p>A leader that does not answer this process may well answer others. So a silent leader is
 * replaced only if the store has had no record of it for a while, either; it writes one at least
 * every {@code CommitQueue.HEARTBEAT_MILLIS}.
 *
 * <p>{@code Candidate} is thread-safe.
 */
public final class Candidate implements LeaderObserver {

    /**
     * After how long without an answer, or without a record that the leader could keep, the store
     * is watched, in milliseconds: an agent hears from its leader every 500 ms.
     */
    static final long WATCH_DELAY_MILLIS = 600;

    /** After how long without an answer a leader is suspected, in milliseconds: two heartbeats. */
    static final long SUSPECT_TIMEOUT_MILLIS = 1100;

    /**
     * How long the store must be without a record of a suspected leader, in milliseconds: four of
     * its records; in a store that is slowed seventyfold one takes half of it.
     */
    static final long STORE_SILENCE_MILLIS = 1200;

    /**
     * How long the store must be without a record of a leader that is gone from its address, in
     * milliseconds: longer than between two of its records, in case it is cut off from this process
     * only.
     */
    static final long ABSENT_LEADER_SILENCE_MILLIS = 350;

    /**
     * For how long a leader must have had no store to be replaced, in milliseconds; after an outage
     * for all, its next try comes within one call and a pause.
     */
    static final long LEADER_STORE_OUTAGE_MILLIS = 1500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(Candidate.class);

    /** The store. */
    private final KeyedStore store;

    /** The clock. */
    private final MonotonicClock clock;

    /** Where this process listens, host and port. */
    private final String address;

    /** The run of this process. */
    private final Incarnation self;

    /** Tells the offset up to which claims have been read; negative if not at all. */
    private final LongSupplier claimsRead;

    /** The newest claim; guarded by this. */
    private Claim newest = Claim.NONE;

    /** When the leader last answered this process with the store at hand; guarded by this. */
    private long leaderSeen;

    /** Since when the store has had no new record of the leader; guarded by this. */
    private long quietSince = -1;

    /** The end of the cell's topic since then; guarded by this. */
    private long quietEnd;

    /** For how long the leader said that it has had no store, in milliseconds; guarded by this. */
    private long storeSilent;

    /** Whether nobody leads at the leader's address; guarded by this. */
    private boolean gone;

    /** Whether a call to the store is under way; guarded by this. */
    private boolean asking;

    /**
     * Constructor.
     *
     * @param store the store
     * @param clock the clock
     * @param address where this process listens, host and port
     * @param self the run of this process
     * @param claimsRead tells the offset up to which claims have been read; negative if not at all
     */
    public Candidate(
            KeyedStore store,
            MonotonicClock clock,
            String address,
            Incarnation self,
            LongSupplier claimsRead) {
        this.store = store;
        this.clock = clock;
        this.address = address;
        this.self = self;
        this.claimsRead = claimsRead;
        this.leaderSeen = clock.nowMillis() - SUSPECT_TIMEOUT_MILLIS;
    }

    /**
     * Takes note of a claim that was read.
     *
     * @param claim the claim
     */
    public synchronized void observeClaim(Claim claim) {
        if (claim.epoch().compareTo(newest.epoch()) >= 0) {
            if (!newest.equals(Claim.NONE)) {
                // Whoever has just claimed reads the state before it answers and writes; who led
                // before this process started gets no such time.
                leaderSeen = clock.nowMillis();
            }
            newest = claim;
            quietSince = -1;
            gone = false;
            storeSilent = 0;
        }
    }

    @Override
    public synchronized void leaderAnswered(long storeSilentMillis) {
        leaderSeen = clock.nowMillis();
        storeSilent = storeSilentMillis;
        gone = false;
        if (storeSilent < WATCH_DELAY_MILLIS) {
            quietSince = -1;
        }
    }

    @Override
    public synchronized void leaderAbsent() {
        gone = true;
    }

    /** Decides whether to claim; called several times a second. */
    public void tick() {
        synchronized (this) {
            boolean leads = newest.isHeld() && newest.holder().equals(self);
            if (asking || leads || claimsRead.getAsLong() < 0 || !isToBeWatched()) {
                return;
            }
            if (!newest.isHeld()) {
                claimVacant();
                return;
            }
            if (newest.address().equals(address)) {
                // Whoever held it at this address is gone, since this process has the address now.
                claim("the leader was at this address");
                return;
            }
            asking = true;
        }
        ask(store::readEnd, Topic.CELL, this::judge);
    }

    // -----------------------------------------------------------------------
    /** A process that gave the place up, perhaps as it had failed, lets the others go first. */
    private void claimVacant() {
        boolean gaveUp = newest.holder().equals(self);
        if (!gaveUp || clock.nowMillis() - leaderSeen >= SUSPECT_TIMEOUT_MILLIS) {
            claim("no leader");
        }
    }

    private boolean isToBeWatched() {
        return !newest.isHeld()
                || newest.address().equals(address)
                || gone
                || storeSilent >= WATCH_DELAY_MILLIS
                || clock.nowMillis() - leaderSeen >= WATCH_DELAY_MILLIS;
    }

    /** Decides by how long the store has been without a record of the leader. */
    private boolean isToBeReplaced(long quietMillis) {
        boolean suspected = clock.nowMillis() - leaderSeen >= SUSPECT_TIMEOUT_MILLIS;
        return gone && quietMillis >= ABSENT_LEADER_SILENCE_MILLIS
                || suspected && quietMillis >= STORE_SILENCE_MILLIS
                || storeSilent >= LEADER_STORE_OUTAGE_MILLIS && quietMillis >= STORE_SILENCE_MILLIS;
    }

    private synchronized void judge(Long end, Throwable failure) {
        asking = false;
        if (failure != null) {
            // Without the store nobody can claim; the silence is counted anew once it is back.
            quietSince = -1;
            return;
        }
        long now = clock.nowMillis();
        if (quietSince < 0 || end != quietEnd) {
            quietSince = now;
            quietEnd = end;
        } else if (isToBeReplaced(now - quietSince)) {
            claim("silent for " + (now - quietSince) + " ms");
        }
    }

    private void claim(String reason) {
        Claim claim = new Claim(newest.epoch().next(), address, self);
        LOG.info("claim").with("epoch", claim.epoch()).with("reason", reason).write();
        asking = true;
        List<KeyedRecord> records = List.of(claim.toRecord());
        ask(
                topic -> store.appendAt(topic, records, claimsRead.getAsLong()),
                Topic.CLAIMS,
                (end, failure) -> claimSent(claim, failure));
    }

    /** Asks the store; a call that cannot even be sent must not keep this process from the next. */
    private void ask(
            Function<Topic, CompletableFuture<Long>> call,
            Topic topic,
            BiConsumer<Long, Throwable> then) {
        boolean sent = false;
        try {
            Guarded.then("candidate", call.apply(topic), then);
            sent = true;
        } finally {
            if (!sent) {
                stopAsking();
            }
        }
    }

    private synchronized void stopAsking() {
        asking = false;
    }

    private synchronized void claimSent(Claim claim, Throwable failure) {
        // Whoever won is read from the topic, also when this answer was lost.
        asking = false;
        quietSince = -1;
        if (failure != null) {
            LOG.info("claim-not-taken")
                    .with("epoch", claim.epoch())
                    .with("cause", failure.getMessage())
                    .write();
        }
    }
}
