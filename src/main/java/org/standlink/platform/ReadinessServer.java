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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.standlink.process.HttpService;

/**
 * Reports to the platform's load balancer whether this process accepts new connections.
 *
 * <p>{@code ReadinessServer} is thread-safe.
 */
public final class ReadinessServer implements AutoCloseable {

    private final HttpServer server;
    private final BooleanSupplier ready;

    /**
     * Creates a server and starts to listen.
     *
     * @param address the address to listen on
     * @param executor runs the request handlers
     * @param ready returns true if the process accepts new connections
     */
    public ReadinessServer(InetSocketAddress address, Executor executor, BooleanSupplier ready) {
        this.ready = ready;
        server = HttpService.newServer(address, executor);
        HttpService.serve(server, "/v1/ready", 500, this::handle);
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    // -----------------------------------------------------------------------
    private void handle(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(ready.getAsBoolean() ? 200 : 503, -1);
    }
}
