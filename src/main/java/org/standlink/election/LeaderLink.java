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

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.json.Addresses;
import org.standlink.lease.MonotonicClock;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageHandler;
import org.standlink.wire.Peer;

/**
 * The connection to the leader with the newest epoch known.
 *
 * <p>{@code LeaderLink} is thread-safe.
 */
public final class LeaderLink implements LeaderClient, AutoCloseable {

    /** The log. */
    private static final EventLog LOG = EventLog.of(LeaderLink.class);

    /**
     * How long the leader may leave all calls unanswered before it counts as silent, in
     * milliseconds; an append to a store that is slowed sixtyfold takes half of it.
     */
    private static final long SILENT_MILLIS = 500;

    /** The time between two calls that try whether a silent leader answers, in milliseconds. */
    private static final long PROBE_MILLIS = 250;

    /** The clock. */
    private final MonotonicClock clock;

    /** Since when calls are without an answer, negative if none is; guarded by this. */
    private long waitingSince = -1;

    /** When a silent leader was tried last; guarded by this. */
    private long triedAt;

    /** Where reading threads come from. */
    private final Executor executor;

    /** What answers messages of the leader. */
    private final MessageHandler handler;

    /** The newest epoch known and where its leader listens; guarded by this. */
    private LeaderNotice leader = new LeaderNotice(Epoch.NONE, "");

    /** The connection to that leader, null if its address is not known; guarded by this. */
    private Peer peer;

    /**
     * Constructor.
     *
     * @param executor where reading threads come from
     * @param handler what answers messages of the leader
     * @param clock the clock
     */
    public LeaderLink(Executor executor, MessageHandler handler, MonotonicClock clock) {
        this.clock = clock;
        this.executor = executor;
        this.handler = handler;
    }

    @Override
    public synchronized void offer(LeaderNotice notice, String source) {
        int order = notice.epoch().compareTo(leader.epoch());
        if (order < 0 || notice.equals(leader) || order == 0 && notice.address().isEmpty()) {
            return;
        }
        LOG.info("leader-changed")
                .with("epoch", notice.epoch())
                .with("address", notice.address())
                .with("before", leader.epoch())
                .with("source", source)
                .write();
        leader = notice;
        waitingSince = -1;
        close();
        peer = notice.address().isEmpty() ? null : connectTo(notice.address());
    }

    /**
     * Takes note that the leader of an epoch has resigned.
     *
     * @param epoch the epoch
     */
    public synchronized void leaderResigned(Epoch epoch) {
        if (epoch.equals(leader.epoch())) {
            leader = new LeaderNotice(epoch, "");
            close();
        }
    }

    @Override
    public synchronized LeaderNotice getLeader() {
        return leader;
    }

    /**
     * Sends a message to the leader and waits for the answer. A call that takes too long fails
     * alone; a connection that has gone silent is closed, and fails all that wait on it.
     *
     * @param message the message
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    @Override
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        Peer present;
        synchronized (this) {
            present = peer;
        }
        if (present == null) {
            return CompletableFuture.failedFuture(
                    new StandlinkException(
                            ErrorCode.PEER_UNREACHABLE, "no leader is known", "try again later"));
        }
        began();
        return Guarded.then(
                "leader-call",
                present.callOpen(message, timeoutMillis),
                (answer, failure) -> {
                    if (failure == null || isConnectionLost(failure)) {
                        endSilence();
                    }
                });
    }

    /**
     * Checks whether the leader is not worth calling at the moment. Now and then one caller is let
     * through to try it.
     *
     * @return true if it has left all calls unanswered for a while
     */
    public synchronized boolean isUnresponsive() {
        long now = clock.nowMillis();
        boolean silent = waitingSince >= 0 && now - waitingSince > SILENT_MILLIS;
        if (silent && now - triedAt >= PROBE_MILLIS) {
            triedAt = now;
            return false;
        }
        return silent;
    }

    /**
     * Checks whether there is an open connection to the leader.
     *
     * @return true if so
     */
    public synchronized boolean isConnected() {
        return peer != null && peer.getOpen() != null;
    }

    private synchronized void began() {
        if (waitingSince < 0) {
            waitingSince = clock.nowMillis();
        }
    }

    /** The leader has answered, or the silence was that of a connection that is gone now. */
    private synchronized void endSilence() {
        waitingSince = -1;
    }

    private static boolean isConnectionLost(Throwable failure) {
        return failure instanceof StandlinkException known
                && known.getCode() == ErrorCode.CONNECTION_LOST;
    }

    @Override
    public synchronized void close() {
        if (peer != null) {
            peer.close();
            peer = null;
        }
    }

    private Peer connectTo(String address) {
        InetSocketAddress target = Addresses.parse(address);
        return new Peer(() -> target, executor, handler);
    }
}
