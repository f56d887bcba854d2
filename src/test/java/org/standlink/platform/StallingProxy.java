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

/**
 * Passes connections on to a server, and lets those that are open go silent for good on demand,
 * without a reset, while new ones work.
 */
final class StallingProxy implements AutoCloseable {

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Executor threads;
    private final List<Link> links = new ArrayList<>();

    /** The two sides of one connection. */
    private static final class Link {

        private final Socket caller;
        private final Socket server;
        private volatile boolean silent;

        Link(Socket caller, Socket server) {
            this.caller = caller;
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

    /** Lets all connections that are open now go silent; tells how many these were. */
    synchronized int stallOpenConnections() {
        links.removeIf(link -> link.caller.isClosed());
        links.forEach(link -> link.silent = true);
        return links.size();
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Link link : links) {
            link.caller.close();
            link.server.close();
        }
    }

    // -----------------------------------------------------------------------
    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                Socket server = new Socket(target.getAddress(), target.getPort());
                Link link = new Link(caller, server);
                synchronized (this) {
                    links.add(link);
                }
                threads.execute(() -> pass(link, caller, server));
                threads.execute(() -> pass(link, server, caller));
            } catch (IOException closed) {
                // The test has ended.
                return;
            }
        }
    }

    private static void pass(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length = in.read(buffer);
            while (length >= 0) {
                if (!link.silent) {
                    out.write(buffer, 0, length);
                }
                length = in.read(buffer);
            }
        } catch (IOException ended) {
            // One side has closed the connection; the other one is closed with it.
            return;
        }
    }
}
