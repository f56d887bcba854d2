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

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/** A server whose behaviour is set for each connection, in the order of their opening. */
final class ScriptedServer implements AutoCloseable {

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    final AtomicInteger requests = new AtomicInteger();
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private final List<Script> scripts;

    /** The behaviour on one connection, which is closed afterwards. */
    interface Script {
        void serve(Peer peer) throws IOException, InterruptedException;
    }

    /** The server's side of a connection. */
    record Peer(Socket socket, BufferedReader reader, AtomicInteger requests) {

        /** Reads a request without a body; returns whether there was one. */
        boolean readRequest() throws IOException {
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            requests.addAndGet(line == null ? 0 : 1);
            return line != null;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Starts to listen. Connections beyond the given scripts are served by the last one. */
    ScriptedServer(Executor threads, Script... scripts) throws IOException {
        this.scripts = List.of(scripts);
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(() -> acceptAll(threads));
    }

    static void answerAll(Peer peer) throws IOException {
        while (peer.readRequest()) {
            peer.write(OK);
        }
    }

    String getAddress() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void acceptAll(Executor threads) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (listener.isClosed()) {
                    // An accept that was in progress may succeed while the listener is closed.
                    socket.close();
                    return;
                }
                Script script = scripts.get(Math.min(sockets.size(), scripts.size() - 1));
                sockets.add(socket);
                threads.execute(() -> serve(socket, script));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, Script script) {
        try (socket) {
            InputStreamReader in =
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1);
            script.serve(new Peer(socket, new BufferedReader(in), requests));
        } catch (IOException | InterruptedException ended) {
            // The client has closed the connection, or the test has ended.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
