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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.Fence;
import org.standlink.HallId;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.runner.CallResult;
import org.standlink.runner.RenewalResult;
import org.standlink.wire.StartOrder;

/** Tests calls of workers against literal answers that follow the platform's examples. */
public class TestHttpWorkerClient {

    private static final RunId RUN = new RunId(TaskName.parse("5c0e7a21d94b36f8.0.1.17"), 2);

    private static final Fence FENCE = Fence.of(Epoch.of(7), LeaseGeneration.of(3));

    private final ExecutorService threads = ProcessThreads.newCached("test");
    private HttpServer server;
    private HttpWorkerClient client;
    private WorkerDescription worker;
    private volatile int status = 200;
    private volatile String answer = "{\"clock_ms\":482113}";
    private volatile String path;
    private volatile String workerIdHeader;
    private volatile JsonNode body;

    @BeforeEach
    public void listen() {
        server = HttpService.newServer(new InetSocketAddress("127.0.0.1", 0), threads);
        server.createContext("/", this::handle);
        server.start();
        client = new HttpWorkerClient(new PlatformHttpClient(threads));
        worker =
                new WorkerDescription(
                        WorkerIncarnation.parse("i-7f3a91c2@1000"),
                        "s",
                        "127.0.0.1:" + server.getAddress().getPort(),
                        Resources.NONE,
                        HallId.parse("h"),
                        List.of(),
                        false,
                        0);
    }

    @AfterEach
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            path = exchange.getRequestURI().getPath();
            workerIdHeader = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            body = Json.read(exchange.getRequestBody().readAllBytes());
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private CallResult start(String checkpoint) {
        StartOrder order = new StartOrder(RUN, "(text)", checkpoint, false, 0, "");
        return client.start(worker, order, 486000, FENCE).join();
    }

    /** Renewals continue only if each call ends with a result, also after a malformed answer. */
    @Test
    public void malformedListsAreTreatedAsNoAnswer() {
        for (String row : List.of("[58,\"task\",1,\"done\",\"\"]", "[58,7]", "7", "null")) {
            answer = "{\"born\":1000,\"clock_ms\":1,\"running\":[],\"ended\":[" + row + "]}";
            RenewalResult result = client.renew(worker, 486000, FENCE, 57, 0).join();
            assertEquals(CallResult.Kind.UNKNOWN, result.result().kind(), row);
        }
    }

    /** Without a start time, the lists cannot be attributed to an incarnation. */
    @Test
    public void listsWithAMalformedStartTimeAreTreatedAsNoAnswer() {
        List<String> startTimes =
                List.of(
                        "",
                        "\"born\":null,",
                        "\"born\":\"1000\",",
                        "\"born\":1000.5,",
                        "\"born\":-1,");
        for (String startTime : startTimes) {
            answer = "{" + startTime + "\"clock_ms\":1,\"running\":[],\"ended\":[]}";
            RenewalResult result = client.renew(worker, 486000, FENCE, 57, 0).join();
            assertEquals(CallResult.Kind.UNKNOWN, result.result().kind(), startTime);
        }
    }

    @Test
    public void workerWithoutStartTimeAnswersWithoutOne() {
        worker =
                new WorkerDescription(
                        WorkerIncarnation.parse("i-7f3a91c2"),
                        worker.service(),
                        worker.address(),
                        worker.capacity(),
                        worker.hall(),
                        worker.labels(),
                        worker.draining(),
                        worker.remainingMillis());
        answer = "{\"clock_ms\":1,\"running\":[],\"ended\":[]}";
        RenewalResult result = client.renew(worker, 486000, FENCE, 57, 0).join();
        assertEquals(worker.incarnation(), result.incarnation());
    }

    @Test
    public void answerNamesTheIncarnation() {
        answer = "{\"born\":2000,\"clock_ms\":1,\"running\":[],\"ended\":[]}";
        RenewalResult result = client.renew(worker, 486000, FENCE, 57, 0).join();
        assertEquals(WorkerIncarnation.parse("i-7f3a91c2@2000"), result.incarnation());
    }

    @Test
    public void startRequestNamesRunLeaseFenceAndWorker() {
        CallResult result = start("00000bb87a21d94b");
        assertEquals(CallResult.Kind.DONE, result.kind());
        assertEquals(482113, result.clockMillis());
        assertEquals("/v1/run-start", path);
        assertEquals("i-7f3a91c2", workerIdHeader);
        assertEquals("5c0e7a21d94b36f8.0.1.17", body.path("task").asText());
        assertEquals(2, body.path("run_id").asInt());
        assertEquals("(text)", body.path("spec").asText());
        assertEquals(486000, body.path("until_ms").asLong());
        assertEquals(FENCE.toToken(), body.path("fencing_token").asLong());
        assertEquals("00000bb87a21d94b", body.path("checkpoint").asText());
    }

    @Test
    public void startRequestWithoutCheckpointOmitsTheField() {
        start("");
        assertFalse(body.has("checkpoint"));
    }

    @Test
    public void refusalsAreMappedToTheirKind() {
        Object[][] table = {
            {409, "{\"clock_ms\":1,\"reason\":\"fence\"}", CallResult.Kind.FENCED},
            {409, "{\"clock_ms\":1,\"reason\":\"old\"}", CallResult.Kind.SUPERSEDED},
            {409, "{\"clock_ms\":1,\"reason\":\"late\"}", CallResult.Kind.LEASE_PAST},
            {409, "{\"clock_ms\":1,\"reason\":\"room\"}", CallResult.Kind.NO_ROOM},
            {409, "{\"clock_ms\":1,\"reason\":\"ticket\"}", CallResult.Kind.NO_ROOM},
            {400, "{\"error\":\"unknown\"}", CallResult.Kind.INVALID},
            {421, "", CallResult.Kind.OTHER_LIFE},
            {429, "", CallResult.Kind.UNWELL},
            {503, "not json", CallResult.Kind.UNWELL},
            {500, "", CallResult.Kind.UNKNOWN},
        };
        for (Object[] row : table) {
            status = (Integer) row[0];
            answer = (String) row[1];
            assertEquals(row[2], start("").kind(), () -> row[0] + " " + row[1]);
        }
    }

    @Test
    public void callToAnUnreachableWorkerHasUnknownOutcome() {
        server.stop(0);
        assertEquals(CallResult.Kind.UNKNOWN, start("").kind());
    }

    @Test
    public void renewalDecodesBothLists() {
        answer =
                "{\"born\":1000,\"clock_ms\":482113,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"0b\",41,12]],"
                        + "\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";
        RenewalResult result = client.renew(worker, 486000, FENCE, 57, 400).join();
        assertTrue(result.isDone());
        assertEquals(List.of(new RunProgress(RUN, "0b", 41, 12)), result.running());
        RunId other = new RunId(TaskName.parse("5c0e7a21d94b36f8.0.1.9"), 1);
        assertEquals(List.of(new RunEnd(58, other, RunEndKind.DONE, "")), result.ended());
        assertEquals(57, body.path("last_seen").asLong());
        assertEquals(400, body.path("wait_ms").asLong());
        assertEquals(486000, body.path("until_ms").asLong());
    }

    @Test
    public void renewalWithoutExtensionOmitsTheLeaseEnd() {
        client.renew(worker, -1, FENCE, 0, 0).join();
        assertFalse(body.has("until_ms"));
        assertFalse(body.has("wait_ms"));
    }
}
