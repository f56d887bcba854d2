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
package org.standlink.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Forwards connections to a server, over a link whose rate can be limited. On demand, all open
 * connections stall for good, without a reset, while new ones work.
 */
final class StallingProxy implements AutoCloseable {

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Executor threads;
    private final List<ProxiedConnection> connections = new ArrayList<>();

    /** The time that a byte takes in either direction, in nanoseconds; 0 for an unlimited rate. */
    private volatile long nanosPerByte;

    private final AtomicLong forwardedBytes = new AtomicLong();

    /** The two sides of one connection. */
    private static final class ProxiedConnection {

        private final Socket client;
        private final Socket server;
        private volatile boolean stalled;

        ProxiedConnection(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }
    }

    StallingProxy(int targetPort, Executor threads) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        this.threads = threads;
        threads.execute(this::acceptAll);
    }

    int getPort() {
        return listener.getLocalPort();
    }

    /** Limits the rate of each connection and direction. */
    void limitRate(long bytesPerSecond) {
        nanosPerByte = TimeUnit.SECONDS.toNanos(1) / bytesPerSecond;
    }

    /** Gets the number of bytes that were forwarded in both directions. */
    long getForwardedBytes() {
        return forwardedBytes.get();
    }

    /** Stalls all open connections and returns their number. */
    synchronized int stallOpenConnections() {
        connections.removeIf(connection -> connection.client.isClosed());
        connections.forEach(connection -> connection.stalled = true);
        return connections.size();
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (ProxiedConnection connection : connections) {
            connection.client.close();
            connection.server.close();
        }
    }

    // -----------------------------------------------------------------------
    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket(target.getAddress(), target.getPort());
                ProxiedConnection connection = new ProxiedConnection(client, server);
                synchronized (this) {
                    connections.add(connection);
                }
                threads.execute(() -> forward(connection, client, server));
                threads.execute(() -> forward(connection, server, client));
            } catch (IOException closed) {
                // The test has ended.
                return;
            }
        }
    }

    private void forward(ProxiedConnection connection, Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length = in.read(buffer);
            while (length >= 0) {
                TimeUnit.NANOSECONDS.sleep(length * nanosPerByte);
                if (!connection.stalled) {
                    out.write(buffer, 0, length);
                    forwardedBytes.addAndGet(length);
                }
                length = in.read(buffer);
            }
        } catch (IOException | InterruptedException ended) {
            // One side has closed the connection, so the other side is closed as well.
            return;
        }
    }
}
