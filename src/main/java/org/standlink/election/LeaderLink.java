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
import org.standlink.wire.PeerConnection;

/**
 * The connection to the leader with the newest known epoch.
 *
 * <p>{@code LeaderLink} is thread-safe.
 */
public final class LeaderLink implements LeaderClient, AutoCloseable {

    private static final EventLog LOG = EventLog.of(LeaderLink.class);

    /**
     * How long the leader may leave all calls unanswered before it counts as unresponsive, in
     * milliseconds. An append to a store slowed down sixtyfold takes half of this time.
     */
    private static final long UNRESPONSIVE_MILLIS = 500;

    /** The interval between two calls that probe an unresponsive leader, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    private final MonotonicClock clock;

    /** Since when all calls have been unanswered, negative if none is; guarded by this. */
    private long unansweredSinceMillis = -1;

    /** When an unresponsive leader was last probed; guarded by this. */
    private long lastProbeMillis;

    private final Executor executor;
    private final MessageHandler handler;

    /** The newest known epoch and the address of its leader; guarded by this. */
    private LeaderNotice leader = new LeaderNotice(Epoch.NONE, "");

    /** The connection to this leader, null if its address is not known; guarded by this. */
    private PeerConnection peer;

    /**
     * Creates a link that knows no leader.
     *
     * @param executor runs the tasks that read from connections
     * @param handler answers messages of the leader
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
        unansweredSinceMillis = -1;
        close();
        peer = notice.address().isEmpty() ? null : connectTo(notice.address());
    }

    /**
     * Closes the connection if it is to the leader of the given epoch, which has resigned.
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
     * Sends a message to the leader. A time-out fails only its own call; an unresponsive connection
     * is closed, which fails all calls that wait on it.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    @Override
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        PeerConnection current;
        synchronized (this) {
            current = peer;
        }
        if (current == null) {
            return CompletableFuture.failedFuture(
                    new StandlinkException(
                            ErrorCode.PEER_UNREACHABLE, "no leader is known", "try again later"));
        }
        callStarted();
        return Guarded.onCompletion(
                "leader-call",
                current.callIfConnected(message, timeoutMillis),
                (answer, failure) -> {
                    if (failure == null || isConnectionLost(failure)) {
                        resetUnanswered();
                    }
                });
    }

    /**
     * Checks whether the leader is unresponsive and should not be called. At intervals the method
     * returns false to one caller, whose call probes the leader.
     *
     * @return true if the leader has left all calls unanswered for a while
     */
    public synchronized boolean isUnresponsive() {
        long now = clock.nowMillis();
        boolean unresponsive =
                unansweredSinceMillis >= 0 && now - unansweredSinceMillis > UNRESPONSIVE_MILLIS;
        if (unresponsive && now - lastProbeMillis >= PROBE_INTERVAL_MILLIS) {
            lastProbeMillis = now;
            return false;
        }
        return unresponsive;
    }

    /**
     * Checks whether there is an open connection to the leader.
     *
     * @return true if a connection is open
     */
    public synchronized boolean isConnected() {
        return peer != null && peer.getOpenConnection() != null;
    }

    private synchronized void callStarted() {
        if (unansweredSinceMillis < 0) {
            unansweredSinceMillis = clock.nowMillis();
        }
    }

    /** Called if the leader has answered, or if the unresponsive connection has been closed. */
    private synchronized void resetUnanswered() {
        unansweredSinceMillis = -1;
    }

    private static boolean isConnectionLost(Throwable failure) {
        return failure instanceof StandlinkException exception
                && exception.getCode() == ErrorCode.CONNECTION_LOST;
    }

    @Override
    public synchronized void close() {
        if (peer != null) {
            peer.close();
            peer = null;
        }
    }

    private PeerConnection connectTo(String address) {
        InetSocketAddress target = Addresses.parse(address);
        return new PeerConnection(() -> target, executor, handler);
    }
}
