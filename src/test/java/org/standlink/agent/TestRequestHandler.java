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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.BundleFixtures;
import org.standlink.BundleVersion;
import org.standlink.FakeClock;
import org.standlink.Incarnation;
import org.standlink.Outcome;
import org.standlink.RequestClassId;
import org.standlink.RequestId;
import org.standlink.ServiceId;
import org.standlink.TeamId;
import org.standlink.VmId;
import org.standlink.bundle.BundleHolder;
import org.standlink.process.ProcessThreads;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.OutcomeQuery;

/**
 * Tests the outcomes that an agent reports of requests, and that it runs each request at most once
 * within the slots of the upstream.
 */
public class TestRequestHandler {

    private static final VmId SELF = VmId.parse("vm-1");

    private static final Incarnation ENTRY = Incarnation.of(7);

    private static final Incarnation AGENT = Incarnation.of(8);

    private final FakeClock clock = new FakeClock();

    private final BundleHolder holder = new BundleHolder();

    private final ScheduledExecutorService timers = ProcessThreads.newScheduled("test", 1);

    private final Queue<CompletableFuture<ForwardAnswer>> upstreamAnswers = new ArrayDeque<>();

    private int runs;

    private boolean nodeLeaseLive = true;

    private RequestHandler handler;

    private long number;

    @BeforeEach
    void setUp() {
        offerBundle(1, "'vm-1'");
        handler = createHandler();
        clock.advance(10_001);
    }

    private RequestHandler createHandler() {
        RequestHandler newHandler =
                new RequestHandler(
                        SELF,
                        AGENT,
                        this::run,
                        holder,
                        () -> nodeLeaseLive,
                        clock,
                        timers,
                        new SimpleMeterRegistry());
        newHandler.observeBundle();
        return newHandler;
    }

    @AfterEach
    void tearDown() {
        timers.shutdownNow();
    }

    private void offerBundle(long version, String upstreams) {
        holder.offer(
                BundleFixtures.signed(BundleFixtures.bundle(version, "", upstreams, "")),
                BundleVersion.of(version));
    }

    private CompletableFuture<ForwardAnswer> run(ForwardRequest request) {
        runs++;
        CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
        upstreamAnswers.add(answer);
        return answer;
    }

    private static ForwardAnswer createAnswer(String body) {
        return new ForwardAnswer(Outcome.ANSWERED, 200, Map.of(), body.getBytes(), "", 0, 0);
    }

    private ForwardRequest createRequest(String key, String body) {
        int roster = holder.getBundle().services().get(0).rosterDigest();
        return new ForwardRequest(
                new RequestId(ENTRY, ++number),
                ServiceId.parse("registry"),
                RequestClassId.parse("push"),
                TeamId.parse("security"),
                key,
                roster,
                60_000,
                "POST",
                "/x",
                Map.of(),
                body.getBytes());
    }

    private static Outcome outcomeOf(CompletableFuture<ForwardAnswer> answer) {
        return answer.join().outcome();
    }

    @Test
    void barsAnUnseenRequestWhoseOutcomeIsQueried() {
        ForwardRequest request = createRequest(null, "a");
        assertEquals(
                Outcome.NOT_RUN,
                outcomeOf(handler.queryOutcome(new OutcomeQuery(request.id(), AGENT))));
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(request)));
        assertEquals(0, runs);
    }

    @Test
    void reportsUnknownForAnEarlierIncarnation() {
        OutcomeQuery query = new OutcomeQuery(createRequest(null, "a").id(), Incarnation.of(9));
        assertEquals(Outcome.UNKNOWN, outcomeOf(handler.queryOutcome(query)));
    }

    @Test
    void returnsTheAnswerToAnOutcomeQuery() {
        ForwardRequest request = createRequest(null, "a");
        handler.forward(request);
        CompletableFuture<ForwardAnswer> queried =
                handler.queryOutcome(new OutcomeQuery(request.id(), AGENT));
        assertFalse(queried.isDone(), "the request is still running");
        upstreamAnswers.remove().complete(createAnswer("yes"));
        assertEquals("yes", new String(queried.join().body()));
    }

    @Test
    void limitsRunningRequestsToTheSlotsAndQueuesSome() {
        for (int i = 0; i < 4; i++) {
            handler.forward(createRequest(null, "a"));
        }
        assertEquals(2, runs);
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(createRequest(null, "fifth"))));
        upstreamAnswers.remove().complete(createAnswer("yes"));
        assertEquals(3, runs);
    }

    @Test
    void keepsTheSlotOfARequestPastItsDeadline() {
        ForwardRequest first = createRequest(null, "a");
        ForwardRequest shortRequest =
                new ForwardRequest(
                        first.id(),
                        first.service(),
                        first.requestClass(),
                        first.team(),
                        null,
                        first.roster(),
                        1,
                        first.method(),
                        first.target(),
                        first.headers(),
                        first.body());
        assertEquals(Outcome.UNKNOWN, outcomeOf(handler.forward(shortRequest)));
        assertEquals(1, handler.getOutstanding());
        upstreamAnswers.remove().complete(createAnswer("late"));
        assertEquals(0, handler.getOutstanding());
        assertEquals(
                Outcome.ANSWERED,
                outcomeOf(handler.queryOutcome(new OutcomeQuery(shortRequest.id(), AGENT))));
    }

    @Test
    void refusesNewRequestsWhileLeavingAndCompletesRunningOnes() {
        CompletableFuture<ForwardAnswer> running = handler.forward(createRequest(null, "a"));
        handler.leave();
        assertTrue(handler.getLoad().leaving());
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(createRequest(null, "b"))));
        upstreamAnswers.remove().complete(createAnswer("yes"));
        assertEquals(Outcome.ANSWERED, outcomeOf(running));
    }

    /**
     * A request that reaches an upstream while it stops may be interrupted, and its outcome is then
     * reported as unknown. So requests that have not run are refused instead.
     */
    @Test
    void sendsNoRequestsToALeavingUpstream() {
        CompletableFuture<ForwardAnswer> running = handler.forward(createRequest(null, "a"));
        handler.forward(createRequest(null, "b"));
        CompletableFuture<ForwardAnswer> waiting = handler.forward(createRequest(null, "c"));
        assertFalse(waiting.isDone(), "both slots are in use");
        handler.setUpstreamLeaving();
        assertEquals(Outcome.NOT_RUN, outcomeOf(waiting));
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(createRequest(null, "d"))));
        upstreamAnswers.remove().complete(createAnswer("yes"));
        assertEquals(Outcome.ANSWERED, outcomeOf(running));
        assertEquals(2, runs);
        assertEquals(1, handler.getOutstanding());
    }

    @Test
    void runsAKeyOnceAndReplaysItsAnswer() {
        CompletableFuture<ForwardAnswer> first = handler.forward(createRequest("k", "a"));
        CompletableFuture<ForwardAnswer> second = handler.forward(createRequest("k", "a"));
        upstreamAnswers.remove().complete(createAnswer("once"));
        assertEquals("once", new String(first.join().body()));
        assertEquals("once", new String(second.join().body()));
        assertEquals("once", new String(handler.forward(createRequest("k", "a")).join().body()));
        assertEquals(1, runs);
    }

    @Test
    void rejectsAKeyOfADifferentRequest() {
        handler.forward(createRequest("k", "a"));
        assertEquals(422, handler.forward(createRequest("k", "b")).join().status());
    }

    @Test
    void keepsAKeyWithUnknownOutcomeAndFreesOneThatDidNotRun() {
        handler.forward(createRequest("k", "a"));
        upstreamAnswers.remove().complete(AnswerFactory.unknown("connection lost", 0));
        assertEquals(Outcome.UNKNOWN, outcomeOf(handler.forward(createRequest("k", "a"))));
        handler.forward(createRequest("m", "a"));
        upstreamAnswers.remove().complete(AnswerFactory.notRun("refused", 0, 0));
        handler.forward(createRequest("m", "a"));
        assertEquals(3, runs);
    }

    @Test
    void refusesKeysForTheWindowAfterAStart() {
        handler = createHandler();
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(createRequest("k", "a"))));
        clock.advance(10_001);
        handler.forward(createRequest("k", "a"));
        assertEquals(1, runs);
    }

    @Test
    void refusesKeysThatMovedHereForTheWindow() {
        offerBundle(2, "'vm-1','vm-2','vm-3'");
        handler.observeBundle();
        assertTrue(countRefusedKeys(40) == 0, "this upstream was the home of all keys before");
        offerBundle(3, "'vm-2','vm-1'");
        handler.observeBundle();
        clock.advance(10_001);
        offerBundle(4, "'vm-1'");
        handler.observeBundle();
        int refused = countRefusedKeys(40);
        assertTrue(
                refused > 5 && refused < 35,
                "only the keys that have moved must be refused: " + refused);
        clock.advance(10_001);
        assertEquals(0, countRefusedKeys(40));
    }

    private int countRefusedKeys(int keys) {
        int refused = 0;
        for (int i = 0; i < keys; i++) {
            CompletableFuture<ForwardAnswer> answer =
                    handler.forward(createRequest("key-" + number, "a"));
            if (!answer.isDone()) {
                upstreamAnswers.remove().complete(createAnswer("yes"));
            }
            refused += outcomeOf(answer) == Outcome.NOT_RUN ? 1 : 0;
        }
        return refused;
    }

    @Test
    void refusesKeysWithoutNodeLeaseOrUnderAnotherRoster() {
        nodeLeaseLive = false;
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(createRequest("k", "a"))));
        nodeLeaseLive = true;
        ForwardRequest earlierRequest = createRequest("k", "a");
        offerBundle(2, "'vm-1','vm-2'");
        assertEquals(Outcome.NOT_RUN, outcomeOf(handler.forward(earlierRequest)));
        assertEquals(0, runs);
    }

    @Test
    void neverReportsNotRunForAnEvictedId() {
        RequestTable table = new RequestTable(2);
        for (int i = 1; i <= 4; i++) {
            RequestId id = new RequestId(ENTRY, i);
            assertTrue(table.begin(id).isEmpty());
            table.complete(id, createAnswer("yes"));
        }
        assertTrue(
                table.queryOutcome(new RequestId(ENTRY, 1), AnswerFactory.notRun("", 0, 0))
                        .isEmpty());
        assertEquals(
                RequestTable.Rejection.NOT_KNOWN,
                table.begin(new RequestId(ENTRY, 2)).orElseThrow());
        assertTrue(
                table.queryOutcome(new RequestId(ENTRY, 4), AnswerFactory.notRun("", 0, 0))
                        .isPresent());
    }
}
