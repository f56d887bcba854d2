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
package org.standlink.runner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.election.LeaderLink;
import org.standlink.election.LeaderObserver;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.wire.StartOrder;

/** Tests which incarnation of its worker an agent supervises. */
public class TestAgentNode {

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final List<Runnable> background = new ArrayList<>();
    private final ScriptedAddress address = new ScriptedAddress();
    private final AgentNode agent =
            new AgentNode(
                    "vm",
                    "10.0.0.1:2",
                    Incarnation.of(1),
                    new LeaderLink(background::add, (c, n, m) -> {}, clock),
                    address,
                    clock,
                    loop,
                    new IgnoringObserver(),
                    () -> EvacuatedHalls.NONE);

    /** An observer that does nothing. */
    private static final class IgnoringObserver implements LeaderObserver {

        @Override
        public void leaderAnswered(long storeSilentMillis) {}

        @Override
        public void leaderAbsent() {}
    }

    /** The address of a worker, at which one incarnation answers. */
    private final class ScriptedAddress implements WorkerClient {

        private WorkerIncarnation current;
        private boolean unresponsive;
        private final List<WorkerIncarnation> calledIncarnations = new ArrayList<>();
        private WorkerDescription lastDescription;

        private CompletableFuture<CallResult> answer(WorkerDescription to) {
            boolean same = to.incarnation().equals(current);
            CallResult.Kind kind = same ? CallResult.Kind.DONE : CallResult.Kind.OTHER_LIFE;
            kind = unresponsive ? CallResult.Kind.UNKNOWN : kind;
            return CompletableFuture.completedFuture(
                    new CallResult(kind, clock.nowMillis(), "scripted"));
        }

        @Override
        public CompletableFuture<CallResult> start(
                WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
            return answer(to);
        }

        @Override
        public CompletableFuture<CallResult> stop(WorkerDescription to, RunId run, Fence fence) {
            return answer(to);
        }

        @Override
        public CompletableFuture<RenewalResult> renew(
                WorkerDescription to,
                long leaseUntil,
                Fence fence,
                long recordedEnd,
                long waitMillis) {
            calledIncarnations.add(to.incarnation());
            lastDescription = to;
            CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
            loop.schedule(
                    () -> {
                        answer.complete(
                                new RenewalResult(
                                        answer(to).join(), current, List.of(), List.of()));
                    },
                    10,
                    TimeUnit.MILLISECONDS);
            return answer;
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence fence) {
            return answer(to);
        }
    }

    private static WorkerDescription describeDraining(String id) {
        WorkerDescription description = describe(id);
        return new WorkerDescription(
                description.incarnation(),
                description.service(),
                description.address(),
                description.capacity(),
                description.hall(),
                description.labels(),
                true,
                1000);
    }

    private static WorkerDescription describe(String id) {
        return new WorkerDescription(
                WorkerIncarnation.parse(id + "@1000"),
                "s",
                "10.0.0.1:1",
                new Resources(1000, 100, 0),
                HallId.parse("h"),
                List.of(),
                false,
                0);
    }

    @BeforeEach
    public void start() {
        agent.start();
    }

    @Test
    public void aLateHeartbeatOfAnEarlierIncarnationDoesNotEndTheCurrentOne() {
        address.current = WorkerIncarnation.parse("new@1000");
        agent.heartbeatReceived(describe("new"), 1);
        loop.advance(1000);
        agent.heartbeatReceived(describe("old"), 7);
        loop.advance(1000);
        address.calledIncarnations.clear();
        agent.heartbeatReceived(describe("old"), 8);
        loop.advance(1000);
        assertTrue(address.calledIncarnations.contains(WorkerIncarnation.parse("new@1000")));
        assertTrue(!address.calledIncarnations.contains(WorkerIncarnation.parse("old@1000")));
    }

    @Test
    public void aLateHeartbeatDoesNotRevokeThatAWorkerIsDraining() {
        address.current = WorkerIncarnation.parse("one@1000");
        agent.heartbeatReceived(describeDraining("one"), 5);
        agent.heartbeatReceived(describe("one"), 4);
        loop.advance(1000);
        assertTrue(address.lastDescription.draining());
    }

    @Test
    public void aNewIncarnationThatAnswersReplacesThePreviousOne() {
        address.current = WorkerIncarnation.parse("old@1000");
        agent.heartbeatReceived(describe("old"), 1);
        loop.advance(1000);
        address.current = WorkerIncarnation.parse("new@1000");
        agent.heartbeatReceived(describe("new"), 1);
        loop.advance(1000);
        address.calledIncarnations.clear();
        loop.advance(1000);
        assertEquals(1, address.calledIncarnations.stream().distinct().count());
        assertEquals(WorkerIncarnation.parse("new@1000"), address.calledIncarnations.get(0));
    }

    private static WorkerDescription describeRestarted(long startTime, boolean draining) {
        WorkerDescription description = describe("one");
        return new WorkerDescription(
                WorkerIncarnation.parse("one@" + startTime),
                description.service(),
                description.address(),
                description.capacity(),
                description.hall(),
                description.labels(),
                draining,
                0);
    }

    private long countCalls(long startTime) {
        return address.calledIncarnations.stream()
                .filter(WorkerIncarnation.parse("one@" + startTime)::equals)
                .count();
    }

    @Test
    public void anIncarnationUnderTheSameIdReplacesThePreviousOneWhicheverStartedFirst() {
        for (long startTime : List.of(3000L, 2000L)) {
            address.current = WorkerIncarnation.parse("one@" + startTime);
            agent.heartbeatReceived(describeRestarted(startTime, false), 1);
            loop.advance(1000);
        }
        address.calledIncarnations.clear();
        agent.heartbeatReceived(describeRestarted(3000, false), 9);
        loop.advance(1000);
        assertEquals(0, countCalls(3000));
        assertTrue(countCalls(2000) > 0);
    }

    /**
     * A departure message contains only the id; this one was sent by the previous incarnation and
     * arrives late.
     */
    @Test
    public void aLateDepartureDoesNotEndAnIncarnationThatAnswers() {
        for (boolean draining : List.of(false, true)) {
            address.current = WorkerIncarnation.parse("one@2000");
            agent.heartbeatReceived(describeRestarted(2000, draining), draining ? 2 : 1);
            loop.advance(1000);
            agent.workerLeft(WorkerId.parse("one"));
            loop.advance(3000);
            address.calledIncarnations.clear();
            loop.advance(1000);
            assertTrue(countCalls(2000) > 0, "draining: " + draining);
        }
    }

    @Test
    public void aWorkerThatLeavesAndStopsAnsweringHasEnded() {
        address.current = WorkerIncarnation.parse("one@2000");
        agent.heartbeatReceived(describeRestarted(2000, true), 1);
        loop.advance(1000);
        agent.workerLeft(WorkerId.parse("one"));
        address.unresponsive = true;
        loop.advance(1000);
        address.calledIncarnations.clear();
        loop.advance(1000);
        assertEquals(0, countCalls(2000));
    }

    @Test
    public void aHeartbeatWithoutAStartTimeIsIgnoredForAWorkerThatHasSentOne() {
        address.current = WorkerIncarnation.parse("one@2000");
        agent.heartbeatReceived(describeRestarted(2000, false), 1);
        loop.advance(1000);
        WorkerDescription current = describeRestarted(2000, true);
        agent.heartbeatReceived(
                new WorkerDescription(
                        WorkerIncarnation.parse("one"),
                        current.service(),
                        current.address(),
                        current.capacity(),
                        current.hall(),
                        current.labels(),
                        true,
                        0),
                9);
        loop.advance(1000);
        assertTrue(
                address.calledIncarnations.stream()
                        .allMatch(WorkerIncarnation.parse("one@2000")::equals));
        assertTrue(!address.lastDescription.draining());
    }

    /** One id may be reused thousands of times. */
    @Test
    public void theNumberOfRememberedEndedIncarnationsIsBounded() {
        EndedIncarnations ended = new EndedIncarnations();
        for (int startTime = 0; startTime < 10_000; startTime++) {
            assertTrue(ended.add(WorkerIncarnation.parse("one@" + startTime), 1000));
        }
        assertTrue(ended.list().size() < 100);
        assertTrue(ended.contains(WorkerIncarnation.parse("one@9999")));
    }
}
