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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.election.LeaderLink;
import org.standlink.gateway.JobGateway;
import org.standlink.job.Configuration;
import org.standlink.job.QueueDefinition;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.ProcessThreads;

/** Tests the answers to callers whose body is too long. */
public class TestCallerHttpServer {

    private static final int MAX_BODY_BYTES = 1000;

    private final FakeClock clock = new FakeClock();
    private final ExecutorService threads = ProcessThreads.newCached("test");
    private CallerHttpServer server;
    private int port;

    @BeforeEach
    public void listen() throws IOException {
        LeaderLink leader = new LeaderLink(threads, (connection, call, message) -> {}, clock);
        JobGateway gateway = new JobGateway(leader, clock, new SimpleMeterRegistry());
        QueueDefinition queue = new QueueDefinition("q", "h", "/q/", "s", 0, 2, 250, 1.5, false);
        gateway.offer(new Configuration(1, List.of(queue), List.of(), MAX_BODY_BYTES));
        server =
                new CallerHttpServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        threads,
                        gateway,
                        new ConnectionDrain(clock));
        port = server.getPort();
    }

    @AfterEach
    public void close() {
        server.close();
        threads.shutdownNow();
    }

    /** Sends a raw request and reads the status line and the headers of the answer. */
    private String send(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            StringBuilder answer = new StringBuilder();
            for (String line = reader.readLine();
                    line != null && !line.isEmpty();
                    line = reader.readLine()) {
                answer.append(line).append('\n');
            }
            return answer.toString();
        }
    }

    private static String post(long length, String body) {
        return "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                + length
                + "\r\n\r\n"
                + body;
    }

    @Test
    public void oversizedContentLengthIsRejectedWithoutReadingTheBody() throws IOException {
        String answer = send(post(99_999_999_999L, ""));
        assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), answer);
    }

    @Test
    public void bodyLimitComesFromTheConfigurationInForce() throws IOException {
        String longest = "x".repeat(MAX_BODY_BYTES);
        assertTrue(send(post(MAX_BODY_BYTES, longest)).startsWith("HTTP/1.1 400"));
        assertTrue(send(post(MAX_BODY_BYTES + 1, longest + "x")).startsWith("HTTP/1.1 413"));
        assertEquals(MAX_BODY_BYTES, longest.length());
    }

    @Test
    public void chunkedBodyHasTheSameLimit() throws IOException {
        String chunk = Integer.toHexString(MAX_BODY_BYTES + 1);
        String request =
                "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk
                        + "\r\n"
                        + "x".repeat(MAX_BODY_BYTES + 1)
                        + "\r\n0\r\n\r\n";
        assertTrue(send(request).startsWith("HTTP/1.1 413"));
    }
}
