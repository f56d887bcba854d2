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
 * Accepts connections from other processes of standlink and greets each of them.
 *
 * <p>{@code WireServer} is thread-safe.
 */
public final class WireServer implements AutoCloseable {

    /** The log. */
    private static final EventLog LOG = EventLog.of(WireServer.class);

    /** The listening socket. */
    private final ServerSocket listener;

    /** Where threads come from. */
    private final ExecutorService executor;

    /** The greeting. */
    private final Hello hello;

    /** What answers messages. */
    private final MessageHandler handler;

    /** How long an answer to a leave is waited for before it is told again, in milliseconds. */
    private static final long LEAVE_MILLIS = 5000;

    /** Whether this server leaves. */
    private volatile boolean leaving;

    /** Whether this server is closed. */
    private volatile boolean closed;

    /** The local ports of connections of this process to itself, and what waits for them. */
    private final Map<Integer, CountDownLatch> ownPorts = new ConcurrentHashMap<>();

    /** The open connections. */
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Constructor, which starts to listen.
     *
     * @param address where to listen; port 0 takes a free port
     * @param executor where threads come from
     * @param hello the greeting
     * @param handler what answers messages
     * @throws StandlinkException with code PEER_UNREACHABLE if the address cannot be taken
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
        } catch (IOException taken) {
            throw new StandlinkException(
                    ErrorCode.PEER_UNREACHABLE,
                    "cannot listen on " + address,
                    "free the address or change it in the settings",
                    taken);
        }
        executor.execute(this::acceptAll);
    }

    /**
     * Gets the port listened on.
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
            } catch (StandlinkException lost) {
                connections.remove(connection);
            }
        }
    }

    /** Tells everybody who is connected, and whoever connects from now on, that it leaves. */
    public void leave() {
        leaving = true;
        connections.forEach(connection -> connection.announceLeaving(LEAVE_MILLIS));
    }

    /**
     * Checks whether all who are connected know that this server leaves, so that none of them sends
     * a request any more.
     *
     * @return true if so
     */
    public boolean isLeavingAcknowledged() {
        return leaving && connections.stream().allMatch(Connection::isLeavingAcknowledged);
    }

    /** Takes no more connections; those that are open go on. */
    public void stopListening() {
        try {
            listener.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }

    /** Says on all connections that nothing more is sent; the others close once they have read. */
    public void shutDownOutput() {
        connections.forEach(Connection::shutDownOutput);
    }

    /**
     * Checks whether anybody is connected.
     *
     * @return true if nobody is
     */
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /**
     * Waits until all connections that were made before this call have been accepted. The system
     * makes connections before they are accepted, and resets those when the listener closes. A
     * connection to itself is accepted after all of them.
     *
     * @param timeoutMillis how long it may take, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitPendingAccepts(long timeoutMillis) throws InterruptedException {
        try (Socket last = new Socket()) {
            last.bind(null);
            CountDownLatch accepted = new CountDownLatch(1);
            ownPorts.put(last.getLocalPort(), accepted);
            try {
                last.connect(listener.getLocalSocketAddress(), (int) timeoutMillis);
                accepted.await(timeoutMillis, TimeUnit.MILLISECONDS);
            } finally {
                ownPorts.remove(last.getLocalPort());
            }
        } catch (IOException closedOrFull) {
            LOG.info("await-accepts-failed").with("cause", closedOrFull).write();
        }
    }

    @Override
    public void close() {
        closed = true;
        stopListening();
        connections.forEach(Connection::close);
    }

    // -----------------------------------------------------------------------
    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                accept(listener.accept());
            } catch (IOException | StandlinkException ended) {
                // A peer that left at once is passed over; a closed listener ends the loop.
                continue;
            } catch (RuntimeException | Error thrown) {
                // Whoever connects next must still be heard.
                WorkFailures.note("accept", thrown);
            }
        }
    }

    /** Takes a connection of this process to itself, which only tells that earlier ones are in. */
    private boolean isOwn(Socket socket) throws IOException {
        CountDownLatch accepted = ownPorts.get(socket.getPort());
        if (accepted == null || !socket.getInetAddress().equals(socket.getLocalAddress())) {
            return false;
        }
        accepted.countDown();
        socket.close();
        return true;
    }

    private void accept(Socket socket) throws IOException {
        if (isOwn(socket)) {
            return;
        }
        Connection[] self = new Connection[1];
        Connection connection = new Connection(socket, handler, () -> connections.remove(self[0]));
        self[0] = connection;
        connections.add(connection);
        if (closed) {
            // A thread that waits in accept may still get one connection after the close.
            connection.close();
            return;
        }
        connection.send(hello);
        connection.start(executor);
        if (leaving) {
            connection.announceLeaving(LEAVE_MILLIS);
        }
    }
}
