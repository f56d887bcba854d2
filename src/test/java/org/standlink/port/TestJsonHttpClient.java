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
package org.standlink.port;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;

/** Tests the error code of each kind of failed call. */
public class TestJsonHttpClient {

    private final ExecutorService executor = ProcessThreads.newCached("test");

    private final CountDownLatch ended = new CountDownLatch(1);

    private HttpServer server;

    private String fault;

    @BeforeEach
    void start() {
        server = HttpService.newServer(new InetSocketAddress("127.0.0.1", 0), executor);
        server.createContext("/", this::handle);
        server.start();
    }

    @AfterEach
    void stop() {
        ended.countDown();
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        switch (fault) {
            case "cut" -> exchange.close();
            case "slow" -> awaitEnd();
            case "refused" ->
                    write(exchange, 409, "{\"code\":\"NO_CAPACITY\",\"reason\":\"full\"}");
            case "nonsense" -> write(exchange, 200, "<html>");
            default -> write(exchange, Integer.parseInt(fault), "7");
        }
    }

    private void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(HttpExchange exchange, int status, String body) throws IOException {
        try (exchange) {
            exchange.sendResponseHeaders(status, body.length());
            exchange.getResponseBody().write(body.getBytes());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "503, PLATFORM_UNAVAILABLE",
        "500, PLATFORM_OUTCOME_UNKNOWN",
        "504, PLATFORM_OUTCOME_UNKNOWN",
        "cut, PLATFORM_OUTCOME_UNKNOWN",
        "slow, PLATFORM_OUTCOME_UNKNOWN",
        "nonsense, PLATFORM_OUTCOME_UNKNOWN",
        "refused, NO_CAPACITY",
        "not running, PLATFORM_UNAVAILABLE",
    })
    void mapsFailuresToErrorCodes(String kind, ErrorCode expected) {
        fault = kind;
        URI uri = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        if (kind.equals("not running")) {
            server.stop(0);
        }
        LogPort log =
                new HttpLog(
                        new JsonHttpClient(
                                uri, JsonHttpClient.newClient(executor), Duration.ofMillis(300)));
        StandlinkException failure =
                assertThrows(StandlinkException.class, () -> log.append(new byte[] {1}));
        assertEquals(expected, failure.getCode());
    }
}
