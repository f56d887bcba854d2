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
 * A connection to another process that is re-established after it was lost.
 *
 * <p>{@code PeerConnection} is thread-safe.
 */
public final class PeerConnection implements AutoCloseable {

    /** The time limit for establishing a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Gets the address at which the peer listens; called for each new connection. */
    private final Supplier<InetSocketAddress> address;

    /** Runs the reading tasks and the connection attempts in the background. */
    private final Executor executor;

    /** Handles all messages that are not answers. */
    private final MessageHandler handler;

    /** Whether a connection is being established in the background. */
    private final AtomicBoolean connecting = new AtomicBoolean();

    /** Why the last connection attempt in the background failed, null if it succeeded. */
    private volatile StandlinkException lastFailure;

    /** The last established connection, possibly closed; null if there was none. */
    private volatile Connection connection;

    /**
     * Creates an instance that is not connected yet.
     *
     * @param address gets the address at which the peer listens, null while it is not known
     * @param executor runs the reading tasks and the connection attempts in the background
     * @param handler handles all messages that are not answers
     */
    public PeerConnection(
            Supplier<InetSocketAddress> address, Executor executor, MessageHandler handler) {
        this.address = address;
        this.executor = executor;
        this.handler = handler;
    }

    /**
     * Gets the open connection, or establishes one if there is none.
     *
     * @return an open connection
     * @throws StandlinkException with code PEER_UNREACHABLE if no connection can be established
     */
    public Connection connect() {
        Connection current = connection;
        if (current != null && !current.isClosed()) {
            return current;
        }
        return reconnect();
    }

    /**
     * Sends a message that the peer answers over the open connection. If there is none, the call
     * fails at once and a connection is established in the background. A connection that becomes
     * unresponsive while the call is pending is closed.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer; fails with PEER_UNREACHABLE only if nothing was sent
     */
    public CompletableFuture<Message> callIfConnected(Message message, long timeoutMillis) {
        Connection current = getOpenConnection();
        if (current != null) {
            return current.callMonitored(message, timeoutMillis);
        }
        if (connecting.compareAndSet(false, true)) {
            executor.execute(this::connectInBackground);
        }
        return CompletableFuture.failedFuture(
                unreachable("a peer to which a connection is being established", lastFailure));
    }

    private void connectInBackground() {
        try {
            reconnect();
            lastFailure = null;
        } catch (StandlinkException unreachable) {
            lastFailure = unreachable;
        } finally {
            connecting.set(false);
        }
    }

    /**
     * Gets the open connection if there is one.
     *
     * @return the open connection, null if there is none
     */
    public Connection getOpenConnection() {
        Connection current = connection;
        return current == null || current.isClosed() ? null : current;
    }

    /**
     * Sends a message that the peer answers, and first establishes a connection if there is none.
     *
     * @param message the message
     * @param timeoutMillis how long to wait for the answer, in milliseconds
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
        Connection current = connection;
        if (current != null) {
            current.close();
        }
    }

    // -----------------------------------------------------------------------
    private synchronized Connection reconnect() {
        Connection current = getOpenConnection();
        if (current != null) {
            return current;
        }
        InetSocketAddress target = address.get();
        if (target == null) {
            throw unreachable("a peer without a known address", null);
        }
        Socket socket = new Socket();
        try {
            socket.connect(target, CONNECT_TIMEOUT_MILLIS);
            Connection created = new Connection(socket, handler, () -> {});
            created.start(executor);
            connection = created;
            return created;
        } catch (IOException failure) {
            closeQuietly(socket);
            throw unreachable(target.toString(), failure);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // There is nothing left to release.
        }
    }

    private static StandlinkException unreachable(String description, Throwable cause) {
        return new StandlinkException(
                ErrorCode.PEER_UNREACHABLE,
                description + " cannot be reached",
                "check that the process runs and that the address is right",
                cause);
    }
}
