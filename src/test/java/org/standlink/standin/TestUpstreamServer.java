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
package org.standlink.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/** Tests the stand-in of an upstream. */
public class TestUpstreamServer {

    /** The service time, in milliseconds; all requests of a test take longer than a notice did. */
    private static final long SERVICE_MILLIS = 60;

    /** The requests that come while the upstream leaves. */
    private static final int REQUESTS = 20;

    @Test
    public void answersAsLongAsCallersComeWhileItLeaves() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(4);
        UpstreamServer server =
                new UpstreamServer(new InetSocketAddress("127.0.0.1", 0), threads, SERVICE_MILLIS);
        try {
            HttpClient client = HttpClient.newHttpClient();
            assertEquals(200, send(client, server).statusCode());
            Future<?> leaving = threads.submit(() -> drain(server));
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(200, send(client, server).statusCode());
            }
            leaving.get();
            assertTrue(leaving.isDone());
        } finally {
            server.close();
            threads.shutdownNow();
        }
    }

    private static Void drain(UpstreamServer server) throws InterruptedException {
        server.drain(60_000);
        return null;
    }

    private static HttpResponse<Void> send(HttpClient client, UpstreamServer server)
            throws Exception {
        URI address = URI.create("http://127.0.0.1:" + server.getPort() + "/");
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding());
    }
}
