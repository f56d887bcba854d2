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
package org.standlink.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.BundleFixtures;
import org.standlink.BundleVersion;
import org.standlink.FakeClock;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.Outcome;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.bundle.BundleHolder;
import org.standlink.policy.RetryBudget;
import org.standlink.process.ProcessThreads;
import org.standlink.wire.Connection;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.Hello;
import org.standlink.wire.Message;
import org.standlink.wire.OutcomeQuery;
import org.standlink.wire.WireServer;

/** Tests the answers of {@link RequestRouter}, over real connections to scripted agents. */
public class TestRequestRouter {

    /** The scripted behaviour of an agent for each message. */
    @FunctionalInterface
    private interface Script {

        void handle(Connection connection, long call, Message message);
    }

    private final FakeClock clock = new FakeClock();

    private final ExecutorService executor = ProcessThreads.newCached("test");

    private final List<WireServer> servers = new ArrayList<>();

    private final Script[] scripts = new Script[3];

    private final AtomicInteger runs = new AtomicInteger();

    private final BundleHolder holder = new BundleHolder();

    private final UpstreamDirectory directory = new UpstreamDirectory(executor, holder);

    private RequestRouter router;

    @BeforeEach
    void start() {
        String bundle = BundleFixtures.bundle(1, "");
        for (int i = 0; i < 3; i++) {
            int index = i;
            Hello hello = new Hello(VmId.parse("vm-" + (i + 1)), Incarnation.of(i));
            WireServer server =
                    new WireServer(
                            new InetSocketAddress("127.0.0.1", 0),
                            executor,
                            hello,
                            (connection, call, message) ->
                                    scripts[index].handle(connection, call, message));
            servers.add(server);
            scripts[i] = answersWithBody("vm-" + (i + 1));
            bundle = bundle.replace("127.0.0.1:700" + (i + 1), "127.0.0.1:" + server.getPort());
        }
        holder.offer(BundleFixtures.signed(bundle), BundleVersion.of(1));
        router =
                new RequestRouter(
                        Incarnation.of(99),
                        HallId.parse("hall-1"),
                        directory,
                        candidates -> 0,
                        new RetryBudget(1),
                        clock,
                        new SimpleMeterRegistry());
        for (int i = 1; i <= 3; i++) {
            awaitOpen(VmId.parse("vm-" + i));
        }
    }

    private void awaitOpen(VmId vm) {
        directory.getPeer(vm).connect();
        while (!directory.getState(vm).equals("open")) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() {
        directory.close();
        servers.forEach(WireServer::close);
        executor.shutdownNow();
    }

    private Script answersWithBody(String body) {
        return (connection, call, message) -> {
            runs.incrementAndGet();
            connection.answer(call, createAnswered(body));
        };
    }

    private static ForwardAnswer createAnswered(String body) {
        return new ForwardAnswer(Outcome.ANSWERED, 200, Map.of(), body.getBytes(), "", 0, 0);
    }

    private static ForwardAnswer createAnswer(Outcome outcome) {
        return new ForwardAnswer(
                outcome, 0, Map.of(), new byte[0], outcome + " for the test", 2500, 0);
    }

    private static Script answersWith(Outcome outcome) {
        return (connection, call, message) -> connection.answer(call, createAnswer(outcome));
    }

    private RoutedAnswer send(String method) {
        return send(method, null);
    }

    private RoutedAnswer send(String method, String key) {
        CallerRequest request =
                new CallerRequest(
                        method,
                        "/x",
                        "/x",
                        TeamId.parse("security"),
                        key,
                        0,
                        Map.of(),
                        "b".getBytes());
        MatchedRequest matched = MatchedRequest.match(request, holder.getBundle()).orElseThrow();
        return router.route(matched, holder.getBundle(), clock.nowMillis() + 5000);
    }

    @Test
    void retriesElsewhereARequestThatDidNotRun() {
        scripts[0] = answersWith(Outcome.NOT_RUN);
        RoutedAnswer answer = send("POST");
        assertEquals("vm-2", new String(answer.body()));
        assertEquals(1, runs.get());
    }

    @Test
    void reportsNotRunWithARetryTime() {
        for (int i = 0; i < 3; i++) {
            scripts[i] = answersWith(Outcome.NOT_RUN);
        }
        RoutedAnswer answer = send("POST");
        assertEquals(Outcome.NOT_RUN, answer.outcome());
        assertEquals(503, answer.status());
        assertEquals(2500, answer.retryAfterMillis());
    }

    @Test
    void retriesElsewhereARequestBarredAfterALostConnection() {
        scripts[0] =
                (connection, call, message) -> {
                    if (message instanceof ForwardRequest) {
                        connection.close();
                    } else if (message instanceof OutcomeQuery) {
                        connection.answer(call, createAnswer(Outcome.NOT_RUN));
                    }
                };
        assertEquals("vm-2", new String(send("POST").body()));
        assertEquals(1, runs.get());
    }

    @Test
    void queriesTheAnswerOfARequestAfterALostConnection() {
        scripts[0] =
                (connection, call, message) -> {
                    if (message instanceof ForwardRequest) {
                        runs.incrementAndGet();
                        connection.close();
                    } else {
                        connection.answer(call, createAnswered("kept"));
                    }
                };
        assertEquals("kept", new String(send("POST").body()));
        assertEquals(1, runs.get());
    }

    @Test
    void reportsUnknownWithoutARetryWhenTheAgentIsUnreachable() {
        scripts[0] =
                (connection, call, message) -> {
                    runs.incrementAndGet();
                    servers.get(0).close();
                };
        RoutedAnswer answer = send("POST");
        assertEquals(Outcome.UNKNOWN, answer.outcome());
        assertEquals(504, answer.status());
        assertEquals(1, runs.get());
    }

    @Test
    void retriesARepeatableRequestWithUnknownOutcome() {
        scripts[0] = answersWith(Outcome.UNKNOWN);
        assertEquals("vm-2", new String(send("GET").body()));
    }

    @Test
    void neverReportsNotRunOnceAnAttemptIsUnknown() {
        scripts[0] = answersWith(Outcome.UNKNOWN);
        scripts[1] = answersWith(Outcome.NOT_RUN);
        scripts[2] = answersWith(Outcome.NOT_RUN);
        assertEquals(Outcome.UNKNOWN, send("GET").outcome());
    }

    @Test
    void sendsARequestWithAKeyToItsHomeUpstreamOnly() {
        String home = new String(send("POST", "k").body());
        for (int i = 0; i < 5; i++) {
            assertEquals(home, new String(send("POST", "k").body()));
        }
        scripts[Integer.parseInt(home.substring(3)) - 1] = answersWith(Outcome.NOT_RUN);
        assertEquals(Outcome.NOT_RUN, send("POST", "k").outcome());
    }

    @Test
    void givesEachCallerItsOwnAnswerWhenAnswersArriveOutOfOrder() {
        List<Runnable> pendingAnswers = new ArrayList<>();
        scripts[0] =
                (connection, call, message) -> {
                    ForwardRequest forward = (ForwardRequest) message;
                    synchronized (pendingAnswers) {
                        pendingAnswers.add(
                                () ->
                                        connection.answer(
                                                call,
                                                createAnswered("for " + forward.id().number())));
                        if (pendingAnswers.size() == 2) {
                            pendingAnswers.get(1).run();
                            pendingAnswers.get(0).run();
                        }
                    }
                };
        CompletableFuture<RoutedAnswer> first =
                CompletableFuture.supplyAsync(() -> send("POST"), executor);
        CompletableFuture<RoutedAnswer> second =
                CompletableFuture.supplyAsync(() -> send("POST"), executor);
        String one = new String(first.join().body());
        String two = new String(second.join().body());
        assertTrue(
                List.of("for 1", "for 2").containsAll(List.of(one, two)) && !one.equals(two),
                one + two);
    }

    @Test
    void sendsNothingToAnUpstreamThatIsLeaving() {
        scripts[0] = answersWith(Outcome.NOT_RUN);
        servers.get(0).broadcast(new org.standlink.wire.UpstreamLoad(0, true, false));
        while (!directory.getState(VmId.parse("vm-1")).equals("leaving")) {
            Thread.onSpinWait();
        }
        assertEquals("vm-2", new String(send("POST").body()));
    }
}
