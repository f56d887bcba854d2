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
package org.standlink.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.Incarnation;
import org.standlink.StandlinkException;
import org.standlink.VmId;
import org.standlink.process.ProcessThreads;
import org.standlink.wire.Hello;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.MessageHandler;
import org.standlink.wire.QueueQuery;
import org.standlink.wire.WireServer;

/** Tests how calls that share a connection end when the leader does not answer. */
public class TestLeaderConnection {

    /**
     * Longer than any test waits, in milliseconds: only closing the connection ends such a call.
     */
    private static final long LONG_TIMEOUT_MILLIS = 600_000;

    /** Limits the duration of a failing test, in seconds. */
    private static final long TEST_TIMEOUT_SECONDS = 60;

    private final FakeClock clock = new FakeClock();
    private final ExecutorService threads = ProcessThreads.newCached("test");

    @AfterEach
    public void close() {
        threads.shutdownNow();
    }

    private LeaderLink linkTo(int port) {
        LeaderLink link = new LeaderLink(threads, (connection, call, message) -> {}, clock);
        link.offer(new LeaderNotice(Epoch.of(1), "127.0.0.1:" + port), "test");
        return link;
    }

    /** Sends a call as soon as there is a connection. */
    private static CompletableFuture<Message> call(LeaderLink link, String queue, long millis) {
        while (true) {
            CompletableFuture<Message> answer = link.call(new QueueQuery(queue), millis);
            if (!answer.isCompletedExceptionally()) {
                return answer;
            }
            Thread.onSpinWait();
        }
    }

    @Test
    public void aTimeoutFailsOnlyItsOwnCall() throws Exception {
        CompletableFuture<Void> firstCallFailed = new CompletableFuture<>();
        MessageHandler slow =
                (connection, call, message) -> {
                    if (message instanceof QueueQuery query && query.queue().equals("slow")) {
                        return;
                    }
                    firstCallFailed.thenRun(() -> connection.answer(call, message));
                };
        Hello hello = new Hello(VmId.parse("vm"), Incarnation.of(1));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
        try (WireServer server = new WireServer(address, threads, hello, slow);
                LeaderLink link = linkTo(server.getPort())) {
            CompletableFuture<Message> first = call(link, "slow", 1500);
            CompletableFuture<Message> other = call(link, "q", LONG_TIMEOUT_MILLIS);
            ExecutionException failure = assertThrows(ExecutionException.class, first::get);
            assertEquals(TimeoutException.class, failure.getCause().getClass());
            assertFalse(other.isDone());
            firstCallFailed.complete(null);
            assertEquals(new QueueQuery("q"), other.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    public void closesAnUnresponsiveConnectionBeforeItsCallsTimeOut() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            threads.execute(() -> readWithoutAnswering(unresponsive));
            try (LeaderLink link = linkTo(unresponsive.getLocalPort())) {
                CompletableFuture<Message> call = call(link, "q", LONG_TIMEOUT_MILLIS);
                ExecutionException lost =
                        assertThrows(
                                ExecutionException.class,
                                () -> call.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                StandlinkException exception = (StandlinkException) lost.getCause();
                assertEquals(ErrorCode.CONNECTION_LOST, exception.getCode());
                clock.advance(1000);
                assertFalse(link.isUnresponsive(), "only the connection was unresponsive");
                assertFalse(link.isUnresponsive());
            }
        }
    }

    private static void readWithoutAnswering(ServerSocket listener) {
        try (Socket socket = listener.accept();
                InputStream input = socket.getInputStream()) {
            while (input.read() >= 0) {
                continue;
            }
        } catch (IOException ended) {
            // The test has closed the socket.
            return;
        }
    }
}
