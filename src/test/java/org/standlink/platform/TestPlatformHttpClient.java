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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.process.ProcessThreads;

/** Tests calls while open connections are stalled and new ones work. */
public class TestPlatformHttpClient {

    /** The number of connections that stall. */
    private static final int STALLED_CONNECTIONS = 3;

    /** The timeout of a call that is answered, in milliseconds; it only bounds a failing test. */
    private static final long ANSWERED_CALL_TIMEOUT_MILLIS = 60_000;

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private final PlatformHttpClient client = new PlatformHttpClient(threads);
    private final CountDownLatch allOpen = new CountDownLatch(STALLED_CONNECTIONS);
    private ServerSocket listener;

    @BeforeEach
    public void listen() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    @AfterEach
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }

    private void acceptAll() {
        for (int number = 0; !listener.isClosed(); number++) {
            try {
                Socket socket = listener.accept();
                boolean stalls = number < STALLED_CONNECTIONS;
                threads.execute(() -> serve(socket, stalls));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Answers every request, or only the first one, once all connections are open. */
    private void serve(Socket socket, boolean stalls) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            boolean stalled = false;
            String line = reader.readLine();
            while (line != null) {
                if (line.isEmpty() && !stalled) {
                    allOpen.countDown();
                    allOpen.await();
                    byte[] answer =
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                    .getBytes(StandardCharsets.US_ASCII);
                    socket.getOutputStream().write(answer);
                    stalled = stalls;
                }
                line = reader.readLine();
            }
        } catch (IOException | InterruptedException ended) {
            // The test has ended, or the client has closed the connection.
            return;
        }
    }

    private CompletableFuture<HttpResponse<byte[]>> call(long millis) {
        String address = "127.0.0.1:" + listener.getLocalPort();
        return client.send(client.newRequest(address, "/", millis).GET());
    }

    @Test
    public void idleConnectionsAreDiscardedAfterATimeout() {
        List<CompletableFuture<HttpResponse<byte[]>>> first =
                IntStream.range(0, STALLED_CONNECTIONS)
                        .mapToObj(one -> call(ANSWERED_CALL_TIMEOUT_MILLIS))
                        .toList();
        first.forEach(CompletableFuture::join);
        assertThrows(CompletionException.class, () -> call(700).join());
        assertEquals(200, call(700).join().statusCode());
    }
}
