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
package org.standlink.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * The near end of a connection to one other process, made anew when it was lost.
 *
 * <p>{@code PeerConnection} is thread-safe.
 */
public final class PeerConnection implements AutoCloseable {

    /** How long to wait for a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 1000;

    /** Where the other process listens; asked anew for each connection. */
    private final Supplier<InetSocketAddress> address;

    /** Where the reading thread comes from. */
    private final Executor executor;

    /** What answers messages that are not answers. */
    private final MessageHandler handler;

    /** Whether a connection is being made in the background. */
    private final AtomicBoolean connecting = new AtomicBoolean();

    /** Why the last try in the background failed, null if it did not. */
    private volatile StandlinkException lastFailure;

    /** The connection, null if there is none. */
    private volatile Connection connection;

    /**
     * Constructor.
     *
     * @param address where the other process listens, null while not known
     * @param executor where the reading thread comes from
     * @param handler what answers messages that are not answers
     */
    public PeerConnection(
            Supplier<InetSocketAddress> address, Executor executor, MessageHandler handler) {
        this.address = address;
        this.executor = executor;
        this.handler = handler;
    }

    /**
     * Gets the connection, making one if there is none.
     *
     * @return an open connection
     * @throws StandlinkException with code PEER_UNREACHABLE if none can be made
     */
    public Connection connect() {
        Connection present = connection;
        if (present != null && !present.isClosed()) {
            return present;
        }
        return connectAnew();
    }

    /**
     * Sends a message over the open connection and waits for its answer. If there is none, one is
     * made in the background and the call fails at once. A connection that goes silent while the
     * call waits is closed.
     *
     * @param message the message
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    public CompletableFuture<Message> callIfConnected(Message message, long timeoutMillis) {
        Connection present = getOpenConnection();
        if (present != null) {
            return present.callMonitored(message, timeoutMillis);
        }
        if (connecting.compareAndSet(false, true)) {
            executor.execute(this::connectInBackground);
        }
        return CompletableFuture.failedFuture(
                unreachable("a peer that is being connected to", lastFailure));
    }

    private void connectInBackground() {
        try {
            connectAnew();
            lastFailure = null;
        } catch (StandlinkException unreachable) {
            lastFailure = unreachable;
        } finally {
            connecting.set(false);
        }
    }

    /**
     * Gets the connection if there is one.
     *
     * @return the open connection, null if there is none
     */
    public Connection getOpenConnection() {
        Connection present = connection;
        return present == null || present.isClosed() ? null : present;
    }

    /**
     * Sends a message and waits for its answer, connecting first if need be.
     *
     * @param message the message
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    public CompletableFuture<Message> call(Message message, long timeoutMillis) {
        try {
            return connect().call(message, timeoutMillis);
        } catch (StandlinkException unreachable) {
            return CompletableFuture.failedFuture(unreachable);
        }
    }

    @Override
    public void close() {
        Connection present = connection;
        if (present != null) {
            present.close();
        }
    }

    // -----------------------------------------------------------------------
    private synchronized Connection connectAnew() {
        Connection present = getOpenConnection();
        if (present != null) {
            return present;
        }
        InetSocketAddress target = address.get();
        if (target == null) {
            throw unreachable("a peer without a known address", null);
        }
        Socket socket = new Socket();
        try {
            socket.connect(target, CONNECT_MILLIS);
            Connection made = new Connection(socket, handler, () -> {});
            made.start(executor);
            connection = made;
            return made;
        } catch (IOException failure) {
            closeQuietly(socket);
            throw unreachable(target.toString(), failure);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }

    private static StandlinkException unreachable(String where, Throwable cause) {
        return new StandlinkException(
                ErrorCode.PEER_UNREACHABLE,
                where + " cannot be reached",
                "check that the process runs and that the address is right",
                cause);
    }
}
