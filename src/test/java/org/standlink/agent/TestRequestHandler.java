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
import org.standlink.BundleVersion;
import org.standlink.FakeClock;
import org.standlink.Fixtures;
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

/** Tests what an agent says of requests, and that it runs each at most once within the slots. */
public class TestRequestHandler {

    private static final VmId SELF = VmId.parse("vm-1");

    private static final Incarnation ENTRY = Incarnation.of(7);

    private static final Incarnation AGENT = Incarnation.of(8);

    private final FakeClock clock = new FakeClock();

    private final BundleHolder holder = new BundleHolder();

    private final ScheduledExecutorService timers = ProcessThreads.newScheduled("test", 1);

    private final Queue<CompletableFuture<ForwardAnswer>> upstream = new ArrayDeque<>();

    private int runs;

    private boolean nodeLease = true;

    private RequestHandler handler;

    private long number;

    @BeforeEach
    void start() {
        offer(1, "'vm-1'");
        handler = newHandler();
        clock.advance(10_001);
    }

    private RequestHandler newHandler() {
        RequestHandler made =
                new RequestHandler(
                        SELF,
                        AGENT,
                        this::run,
                        holder,
                        () -> nodeLease,
                        clock,
                        timers,
                        new SimpleMeterRegistry());
        made.observeBundle();
        return made;
    }

    @AfterEach
    void stop() {
        timers.shutdownNow();
    }

    private void offer(long version, String upstreams) {
        holder.offer(
                Fixtures.signed(Fixtures.bundle(version, "", upstreams, "")),
                BundleVersion.of(version));
    }

    private CompletableFuture<ForwardAnswer> run(ForwardRequest request) {
        runs++;
        CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
        upstream.add(answer);
        return answer;
    }

    private static ForwardAnswer answered(String body) {
        return new ForwardAnswer(Outcome.ANSWERED, 200, Map.of(), body.getBytes(), "", 0, 0);
    }

    private ForwardRequest request(String key, String body) {
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

    private static Outcome outcome(CompletableFuture<ForwardAnswer> answer) {
        return answer.join().outcome();
    }

    @Test
    void barsAnUnseenRequestWhoseOutcomeIsQueried() {
        ForwardRequest late = request(null, "a");
        assertEquals(
                Outcome.NOT_RUN, outcome(handler.queryOutcome(new OutcomeQuery(late.id(), AGENT))));
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(late)));
        assertEquals(0, runs);
    }

    @Test
    void reportsUnknownForAnEarlierIncarnation() {
        OutcomeQuery query = new OutcomeQuery(request(null, "a").id(), Incarnation.of(9));
        assertEquals(Outcome.UNKNOWN, outcome(handler.queryOutcome(query)));
    }

    @Test
    void returnsTheAnswerToAnOutcomeQuery() {
        ForwardRequest request = request(null, "a");
        handler.forward(request);
        CompletableFuture<ForwardAnswer> asked =
                handler.queryOutcome(new OutcomeQuery(request.id(), AGENT));
        assertFalse(asked.isDone(), "it still runs");
        upstream.remove().complete(answered("yes"));
        assertEquals("yes", new String(asked.join().body()));
    }

    @Test
    void limitsRunningRequestsToTheSlotsAndQueuesSome() {
        for (int i = 0; i < 4; i++) {
            handler.forward(request(null, "a"));
        }
        assertEquals(2, runs);
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(request(null, "fifth"))));
        upstream.remove().complete(answered("yes"));
        assertEquals(3, runs);
    }

    @Test
    void keepsTheSlotOfARequestPastItsDeadline() {
        ForwardRequest first = request(null, "a");
        ForwardRequest hasty =
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
        assertEquals(Outcome.UNKNOWN, outcome(handler.forward(hasty)));
        assertEquals(1, handler.getOutstanding());
        upstream.remove().complete(answered("late"));
        assertEquals(0, handler.getOutstanding());
        assertEquals(
                Outcome.ANSWERED,
                outcome(handler.queryOutcome(new OutcomeQuery(hasty.id(), AGENT))));
    }

    @Test
    void refusesNewRequestsWhileLeavingAndCompletesRunningOnes() {
        CompletableFuture<ForwardAnswer> running = handler.forward(request(null, "a"));
        handler.leave();
        assertTrue(handler.getLoad().leaving());
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(request(null, "b"))));
        upstream.remove().complete(answered("yes"));
        assertEquals(Outcome.ANSWERED, outcome(running));
    }

    /** Seen: a request that an upstream cut as it was stopped was told as unknown. */
    @Test
    void sendsNoRequestsToALeavingUpstream() {
        CompletableFuture<ForwardAnswer> running = handler.forward(request(null, "a"));
        handler.forward(request(null, "b"));
        CompletableFuture<ForwardAnswer> waiting = handler.forward(request(null, "c"));
        assertFalse(waiting.isDone(), "both slots are taken");
        handler.setUpstreamLeaving();
        assertEquals(Outcome.NOT_RUN, outcome(waiting));
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(request(null, "d"))));
        upstream.remove().complete(answered("yes"));
        assertEquals(Outcome.ANSWERED, outcome(running));
        assertEquals(2, runs);
        assertEquals(1, handler.getOutstanding());
    }

    @Test
    void runsAKeyOnceAndReplaysItsAnswer() {
        CompletableFuture<ForwardAnswer> first = handler.forward(request("k", "a"));
        CompletableFuture<ForwardAnswer> second = handler.forward(request("k", "a"));
        upstream.remove().complete(answered("once"));
        assertEquals("once", new String(first.join().body()));
        assertEquals("once", new String(second.join().body()));
        assertEquals("once", new String(handler.forward(request("k", "a")).join().body()));
        assertEquals(1, runs);
    }

    @Test
    void rejectsAKeyOfADifferentRequest() {
        handler.forward(request("k", "a"));
        assertEquals(422, handler.forward(request("k", "b")).join().status());
    }

    @Test
    void keepsAKeyWithUnknownOutcomeAndFreesOneThatDidNotRun() {
        handler.forward(request("k", "a"));
        upstream.remove().complete(AnswerFactory.unknown("cut", 0));
        assertEquals(Outcome.UNKNOWN, outcome(handler.forward(request("k", "a"))));
        handler.forward(request("m", "a"));
        upstream.remove().complete(AnswerFactory.notRun("refused", 0, 0));
        handler.forward(request("m", "a"));
        assertEquals(3, runs);
    }

    @Test
    void refusesKeysForTheWindowAfterAStart() {
        handler = newHandler();
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(request("k", "a"))));
        clock.advance(10_001);
        handler.forward(request("k", "a"));
        assertEquals(1, runs);
    }

    @Test
    void refusesKeysThatMovedHereForTheWindow() {
        offer(2, "'vm-1','vm-2','vm-3'");
        handler.observeBundle();
        assertTrue(refusedOf(40) == 0, "all keys were at home here before");
        offer(3, "'vm-2','vm-1'");
        handler.observeBundle();
        clock.advance(10_001);
        offer(4, "'vm-1'");
        handler.observeBundle();
        int refused = refusedOf(40);
        assertTrue(refused > 5 && refused < 35, "only the moved keys wait: " + refused);
        clock.advance(10_001);
        assertEquals(0, refusedOf(40));
    }

    private int refusedOf(int keys) {
        int refused = 0;
        for (int i = 0; i < keys; i++) {
            CompletableFuture<ForwardAnswer> answer =
                    handler.forward(request("key-" + number, "a"));
            if (!answer.isDone()) {
                upstream.remove().complete(answered("yes"));
            }
            refused += outcome(answer) == Outcome.NOT_RUN ? 1 : 0;
        }
        return refused;
    }

    @Test
    void refusesKeysWithoutNodeLeaseOrUnderAnotherRoster() {
        nodeLease = false;
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(request("k", "a"))));
        nodeLease = true;
        ForwardRequest old = request("k", "a");
        offer(2, "'vm-1','vm-2'");
        assertEquals(Outcome.NOT_RUN, outcome(handler.forward(old)));
        assertEquals(0, runs);
    }

    @Test
    void neverReportsNotRunForAnEvictedId() {
        RequestTable table = new RequestTable(2);
        for (int i = 1; i <= 4; i++) {
            RequestId id = new RequestId(ENTRY, i);
            assertTrue(table.begin(id).isEmpty());
            table.complete(id, answered("yes"));
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
