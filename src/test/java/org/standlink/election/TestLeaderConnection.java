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

/** Tests what becomes of the calls that share a connection. */
public class TestLeaderConnection {

    /** Longer than any test waits, in milliseconds: only the watch can end such a call. */
    private static final long NEVER_MILLIS = 600_000;

    /** Bounds a test that fails, in seconds. */
    private static final long BOUND_SECONDS = 60;

    private final FakeClock clock = new FakeClock();
    private final ExecutorService threads = ProcessThreads.newCached("test");

    @AfterEach
    public void close() {
        threads.shutdownNow();
    }

    private LeaderLink linkTo(int port) {
        LeaderLink link = new LeaderLink(threads, (c, n, m) -> {}, clock);
        link.offer(new LeaderNotice(Epoch.of(1), "127.0.0.1:" + port), "test");
        return link;
    }

    /** Calls as soon as there is a connection. */
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
        CompletableFuture<Void> tooLate = new CompletableFuture<>();
        MessageHandler slow =
                (connection, call, message) -> {
                    if (message instanceof QueueQuery query && query.queue().equals("slow")) {
                        return;
                    }
                    tooLate.thenRun(() -> connection.answer(call, message));
                };
        Hello hello = new Hello(VmId.parse("vm"), Incarnation.of(1));
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (WireServer server = new WireServer(any, threads, hello, slow);
                LeaderLink link = linkTo(server.getPort())) {
            CompletableFuture<Message> first = call(link, "slow", 1500);
            CompletableFuture<Message> other = call(link, "q", NEVER_MILLIS);
            ExecutionException late = assertThrows(ExecutionException.class, first::get);
            assertEquals(TimeoutException.class, late.getCause().getClass());
            assertFalse(other.isDone());
            tooLate.complete(null);
            assertEquals(new QueueQuery("q"), other.get(BOUND_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    public void closesAnUnresponsiveConnectionBeforeItsCallsTimeOut() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            threads.execute(() -> readAndSayNothing(silent));
            try (LeaderLink link = linkTo(silent.getLocalPort())) {
                CompletableFuture<Message> call = call(link, "q", NEVER_MILLIS);
                ExecutionException lost =
                        assertThrows(
                                ExecutionException.class,
                                () -> call.get(BOUND_SECONDS, TimeUnit.SECONDS));
                StandlinkException known = (StandlinkException) lost.getCause();
                assertEquals(ErrorCode.CONNECTION_LOST, known.getCode());
                clock.advance(1000);
                assertFalse(link.isUnresponsive(), "the silence was that of the connection");
                assertFalse(link.isUnresponsive());
            }
        }
    }

    private static void readAndSayNothing(ServerSocket listener) {
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
