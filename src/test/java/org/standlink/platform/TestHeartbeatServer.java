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

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.process.ProcessThreads;
import org.standlink.runner.WorkerListener;

/** Tests that heartbeats with a malformed start time are rejected while valid ones are accepted. */
public class TestHeartbeatServer {

    private static final String COMPLETE_HEARTBEAT =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":"
                    + "{\"cpu\":16000,\"mem_mb\":100,\"gpu\":0},\"labels\":[\"a\"],\"seq\":4}";

    private static final List<String> RECEIVED = new CopyOnWriteArrayList<>();
    private static final ExecutorService THREADS = ProcessThreads.newCached("test");
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static HeartbeatServer server;
    private static int port;

    @BeforeContainer
    public static void listen() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        server =
                new HeartbeatServer(
                        new InetSocketAddress("127.0.0.1", port),
                        THREADS,
                        new WorkerListener() {
                            @Override
                            public void heartbeatReceived(WorkerDescription worker, long sequence) {
                                RECEIVED.add(worker.incarnation().toString());
                            }

                            @Override
                            public void workerLeft(WorkerId worker) {
                                RECEIVED.add("left " + worker);
                            }
                        });
    }

    @AfterContainer
    public static void close() {
        server.close();
        THREADS.shutdownNow();
    }

    private static int put(ObjectNode body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/instances/i-1"))
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
                        .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /**
     * Creates a heartbeat. The four forms 1 to 4 have a malformed start time, form 0 has none, all
     * others a valid one.
     */
    private static ObjectNode heartbeat(int form) {
        ObjectNode body =
                (ObjectNode) Json.read(COMPLETE_HEARTBEAT.getBytes(StandardCharsets.UTF_8));
        return switch (form) {
            case 0 -> body;
            case 1 -> body.putNull("born");
            case 2 -> body.put("born", "1784553600123");
            case 3 -> body.put("born", 17.5);
            case 4 -> body.put("born", -1);
            default -> body.put("born", form);
        };
    }

    @Property(tries = 30)
    public void malformedStartTimesAreRejected(
            @ForAll @Size(max = 12) List<@IntRange(max = 9) Integer> forms)
            throws IOException, InterruptedException {
        RECEIVED.clear();
        List<String> accepted = new ArrayList<>();
        for (int form : forms) {
            boolean valid = form == 0 || form > 4;
            assertEquals(valid ? 200 : 400, put(heartbeat(form)), "form " + form);
            if (valid) {
                accepted.add(form == 0 ? "i-1" : "i-1@" + form);
            }
        }
        assertEquals(accepted, RECEIVED);
    }
}
