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
package org.standlink.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.standlink.Incarnation;
import org.standlink.Outcome;
import org.standlink.RequestClassId;
import org.standlink.RequestId;
import org.standlink.ServiceId;
import org.standlink.TeamId;
import org.standlink.process.ProcessThreads;
import org.standlink.wire.Connection;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.Message;
import org.standlink.wire.PeerConnection;

/**
 * Tests that a leaving agent answers every request, however late an entry learns that it is
 * leaving.
 *
 * <p>An entry that is delayed by load or a slow link still sends requests to an agent that has
 * announced that it is leaving. An agent that stopped after 500 ms without running requests could
 * lose such a request, and the entry could not query its outcome: it happened to one request of
 * 2,500 at the stop of an agent under load. The agent therefore waits for the acknowledgements of
 * the entries.
 *
 * <p>In the test, an entry sends a request two seconds after the agent was asked to stop, and the
 * thread that reads the entry's connection starts only after that.
 */
public class TestLeavingAgent {

    private static final long READ_DELAY_MILLIS = 2000;
    private static final long TIMEOUT_MILLIS = 20_000;

    private final ExecutorService executor = ProcessThreads.newCached("test");
    private final ScheduledExecutorService timers = ProcessThreads.newScheduled("timers", 4);
    private final BlockingQueue<Runnable> heldReaders = new LinkedBlockingQueue<>();

    private final AgentProcess agent =
            new AgentProcess(
                    AgentSettings.read(
                            "{\"vm\":\"vm-1\",\"listen\":\"127.0.0.1:0\","
                                    + "\"adminListen\":\"127.0.0.1:0\","
                                    + "\"platform\":\"http://127.0.0.1:1\","
                                    + "\"worker\":\"http://127.0.0.1:1\","
                                    + "\"upstream\":\"http://127.0.0.1:1\","
                                    + "\"drainMillis\":20000}"),
                    executor,
                    timers,
                    new SimpleMeterRegistry());

    @AfterEach
    public void close() {
        agent.close();
        timers.shutdownNow();
        executor.shutdownNow();
    }

    private PeerConnection createPeer() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", agent.getPort());
        return new PeerConnection(
                () -> address, heldReaders::add, (connection, call, message) -> {});
    }

    private static ForwardRequest createRequest(long number) {
        return new ForwardRequest(
                new RequestId(Incarnation.of(9), number),
                ServiceId.parse("registry"),
                RequestClassId.parse("push"),
                TeamId.parse("team"),
                null,
                0,
                TIMEOUT_MILLIS,
                "POST",
                "/",
                Map.of(),
                new byte[0]);
    }

    private Thread startDrain() {
        Thread draining =
                new Thread(
                        () -> {
                            try {
                                agent.drain();
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        });
        draining.start();
        return draining;
    }

    private static Outcome outcomeOf(CompletableFuture<Message> answer) throws Exception {
        Message message = answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return ((ForwardAnswer) message).outcome();
    }

    @Test
    public void answersAnEntryThatLearnsLateThatTheAgentIsLeaving() throws Exception {
        Connection entry = createPeer().connect();
        Thread draining = startDrain();
        draining.join(READ_DELAY_MILLIS);
        CompletableFuture<Message> answer = entry.call(createRequest(1), TIMEOUT_MILLIS);
        executor.execute(heldReaders.take());
        assertEquals(Outcome.NOT_RUN, outcomeOf(answer));
        draining.join(TIMEOUT_MILLIS);
        assertTrue(!draining.isAlive(), "the agent must stop once the entry has acknowledged");
    }
}
