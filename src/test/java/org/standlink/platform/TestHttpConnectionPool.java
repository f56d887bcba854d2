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

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.standlink.process.ProcessThreads;

/** Tests which idle connections are lent, and the release of sockets. */
public class TestHttpConnectionPool {

    private final ExecutorService threads = ProcessThreads.newCached("test");

    private final HttpConnectionPool pool = new HttpConnectionPool(new CallTimeouts(threads));

    @AfterEach
    public void close() {
        threads.shutdownNow();
    }

    private static CallTimeout timeout() {
        return CallTimeout.ofMillis(TimeUnit.MINUTES.toMillis(1));
    }

    /** Guards against a request over a connection that the peer closes for being idle too long. */
    @Test
    public void connectionThatWasIdleForTooLongIsNotLent() throws IOException {
        try (ScriptedServer server = new ScriptedServer(threads, ScriptedServer::answerAll)) {
            HttpConnection connection = pool.open(server.getAddress(), timeout());
            pool.release(connection, true);
            assertSame(connection, pool.takeIdle(server.getAddress(), timeout()));
            pool.release(connection, true);
            long limit = TimeUnit.SECONDS.toNanos(HttpConnectionPool.MAX_IDLE_SECONDS);
            connection.setIdleSinceNanos(System.nanoTime() - limit - 1);
            assertNull(pool.takeIdle(server.getAddress(), timeout()));
            assertFalse(connection.isUsable(), "must be closed");
        }
    }

    /** Guards against a socket that stays open for each call to an address without a valid port. */
    @Test
    public void invalidAddressDoesNotLeakASocket() throws IOException {
        for (String address : new String[] {"127.0.0.1", "127.0.0.1:70000"}) {
            HttpConnection connection = new HttpConnection(address, 0, timeout());
            assertThrows(ConnectException.class, connection::connect);
            assertFalse(connection.isUsable(), "must be closed");
        }
    }
}
