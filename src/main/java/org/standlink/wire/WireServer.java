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
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.EventLog;
import org.standlink.process.WorkFailures;

/**
 * Accepts connections from other standlink processes and greets each of them.
 *
 * <p>{@code WireServer} is thread-safe.
 */
public final class WireServer implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(WireServer.class);

    /**
     * How long to wait for the acknowledgement of leaving before it is announced again, in
     * milliseconds.
     */
    private static final long LEAVE_TIMEOUT_MILLIS = 5000;

    private final ServerSocket listener;
    private final ExecutorService executor;

    /** The greeting sent on each accepted connection. */
    private final Hello hello;

    /** Handles all messages that are not answers. */
    private final MessageHandler handler;

    private volatile boolean leaving;
    private volatile boolean closed;

    /** The latches of connections of this process to itself, by their local ports. */
    private final Map<Integer, CountDownLatch> ownPorts = new ConcurrentHashMap<>();

    /** The open connections. */
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Creates a server and starts to accept connections.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param executor runs the accepting task and the reading task of each connection
     * @param hello the greeting sent on each accepted connection
     * @param handler handles all messages that are not answers
     * @throws StandlinkException with code PEER_UNREACHABLE if the server cannot listen on the
     *     address
     */
    public WireServer(
            InetSocketAddress address,
            ExecutorService executor,
            Hello hello,
            MessageHandler handler) {
        this.executor = executor;
        this.hello = hello;
        this.handler = handler;
        try {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(address);
        } catch (IOException failure) {
            throw new StandlinkException(
                    ErrorCode.PEER_UNREACHABLE,
                    "cannot listen on " + address,
                    "free the address or change it in the settings",
                    failure);
        }
        executor.execute(this::acceptConnections);
    }

    /**
     * Gets the port on which the server listens.
     *
     * @return the port
     */
    public int getPort() {
        return listener.getLocalPort();
    }

    /**
     * Sends a message on every open connection.
     *
     * @param message the message
     */
    public void broadcast(Message message) {
        for (Connection connection : connections) {
            try {
                connection.send(message);
            } catch (StandlinkException failure) {
                connections.remove(connection);
            }
        }
    }

    /** Announces on all current and future connections that this process is leaving. */
    public void leave() {
        leaving = true;
        connections.forEach(connection -> connection.announceLeaving(LEAVE_TIMEOUT_MILLIS));
    }

    /**
     * Checks whether all connected peers know that this process is leaving, so that none of them
     * sends any more requests.
     *
     * @return true if all connected peers have acknowledged it
     */
    public boolean isLeavingAcknowledged() {
        return leaving && connections.stream().allMatch(Connection::isLeavingAcknowledged);
    }

    /** Stops accepting connections; open connections are not affected. */
    public void stopListening() {
        try {
            listener.close();
        } catch (IOException ignored) {
            // There is nothing left to release.
        }
    }

    /**
     * Shuts down the output of all connections; each peer closes its connection once it has read
     * everything.
     */
    public void shutDownOutput() {
        connections.forEach(Connection::shutDownOutput);
    }

    /**
     * Checks whether there are no open connections.
     *
     * @return true if no peer is connected
     */
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /**
     * Waits until all connections that were established before this call have been accepted. The
     * operating system establishes connections before they are accepted, and resets those that are
     * still pending when the listening socket is closed. This method opens a connection to the
     * server itself, which is accepted after all earlier ones.
     *
     * @param timeoutMillis the maximum time to wait, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitPendingAccepts(long timeoutMillis) throws InterruptedException {
        try (Socket ownSocket = new Socket()) {
            ownSocket.bind(null);
            CountDownLatch accepted = new CountDownLatch(1);
            ownPorts.put(ownSocket.getLocalPort(), accepted);
            try {
                ownSocket.connect(listener.getLocalSocketAddress(), (int) timeoutMillis);
                accepted.await(timeoutMillis, TimeUnit.MILLISECONDS);
            } finally {
                ownPorts.remove(ownSocket.getLocalPort());
            }
        } catch (IOException failure) {
            LOG.info("await-accepts-failed").with("cause", failure).write();
        }
    }

    @Override
    public void close() {
        closed = true;
        stopListening();
        connections.forEach(Connection::close);
    }

    // -----------------------------------------------------------------------
    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                accept(listener.accept());
            } catch (IOException | StandlinkException ignored) {
                // A peer that has already disconnected is ignored; a closed listener ends the loop.
                continue;
            } catch (RuntimeException | Error thrown) {
                // Later connections must still be accepted.
                WorkFailures.record("accept", thrown);
            }
        }
    }

    /**
     * Handles a connection of this process to itself, which shows that all earlier connections have
     * been accepted.
     */
    private boolean isOwnConnection(Socket socket) throws IOException {
        CountDownLatch accepted = ownPorts.get(socket.getPort());
        if (accepted == null || !socket.getInetAddress().equals(socket.getLocalAddress())) {
            return false;
        }
        accepted.countDown();
        socket.close();
        return true;
    }

    private void accept(Socket socket) throws IOException {
        if (isOwnConnection(socket)) {
            return;
        }
        Connection[] self = new Connection[1];
        Connection connection = new Connection(socket, handler, () -> connections.remove(self[0]));
        self[0] = connection;
        connections.add(connection);
        if (closed) {
            // A thread that waits in accept may still receive one connection after the close.
            connection.close();
            return;
        }
        connection.send(hello);
        connection.start(executor);
        if (leaving) {
            connection.announceLeaving(LEAVE_TIMEOUT_MILLIS);
        }
    }
}
