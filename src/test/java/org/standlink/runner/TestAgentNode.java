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
import org.standlink.FakeLoop;
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

/** Tests which life of its worker an agent looks after. */
public class TestAgentNode {

    private final FakeClock clock = new FakeClock();
    private final FakeLoop loop = new FakeLoop(clock);
    private final List<Runnable> background = new ArrayList<>();
    private final Address address = new Address();
    private final AgentNode agent =
            new AgentNode(
                    "vm",
                    "10.0.0.1:2",
                    Incarnation.of(1),
                    new LeaderLink(background::add, (c, n, m) -> {}, clock),
                    address,
                    clock,
                    loop,
                    new Nobody(),
                    () -> EvacuatedHalls.NONE);

    /** Hears nothing of a leader. */
    private static final class Nobody implements LeaderObserver {

        @Override
        public void leaderAnswered(long storeSilentMillis) {}

        @Override
        public void leaderAbsent() {}
    }

    /** The address of a worker, at which one life answers. */
    private final class Address implements WorkerClient {

        private WorkerIncarnation present;
        private boolean silent;
        private final List<WorkerIncarnation> called = new ArrayList<>();
        private WorkerDescription last;

        private CompletableFuture<CallResult> answer(WorkerDescription to) {
            boolean same = to.incarnation().equals(present);
            CallResult.Kind kind = same ? CallResult.Kind.DONE : CallResult.Kind.OTHER_LIFE;
            kind = silent ? CallResult.Kind.UNKNOWN : kind;
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
                WorkerDescription to, long until, Fence fence, long recorded, long waitMillis) {
            called.add(to.incarnation());
            last = to;
            CompletableFuture<RenewalResult> later = new CompletableFuture<>();
            loop.schedule(
                    () -> {
                        later.complete(
                                new RenewalResult(
                                        answer(to).join(), present, List.of(), List.of()));
                    },
                    10,
                    TimeUnit.MILLISECONDS);
            return later;
        }

        @Override
        public CompletableFuture<CallResult> throttle(
                WorkerDescription to, RunId run, int percent, Fence fence) {
            return answer(to);
        }
    }

    private static WorkerDescription leaving(String id) {
        WorkerDescription life = life(id);
        return new WorkerDescription(
                life.incarnation(),
                life.service(),
                life.address(),
                life.capacity(),
                life.hall(),
                life.labels(),
                true,
                1000);
    }

    private static WorkerDescription life(String id) {
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
        address.present = WorkerIncarnation.parse("new@1000");
        agent.heartbeatReceived(life("new"), 1);
        loop.advance(1000);
        agent.heartbeatReceived(life("old"), 7);
        loop.advance(1000);
        address.called.clear();
        agent.heartbeatReceived(life("old"), 8);
        loop.advance(1000);
        assertTrue(address.called.contains(WorkerIncarnation.parse("new@1000")));
        assertTrue(!address.called.contains(WorkerIncarnation.parse("old@1000")));
    }

    @Test
    public void aLateHeartbeatDoesNotRevokeThatAWorkerIsDraining() {
        address.present = WorkerIncarnation.parse("one@1000");
        agent.heartbeatReceived(leaving("one"), 5);
        agent.heartbeatReceived(life("one"), 4);
        loop.advance(1000);
        assertTrue(address.last.draining());
    }

    @Test
    public void aNewIncarnationThatAnswersReplacesThePreviousOne() {
        address.present = WorkerIncarnation.parse("old@1000");
        agent.heartbeatReceived(life("old"), 1);
        loop.advance(1000);
        address.present = WorkerIncarnation.parse("new@1000");
        agent.heartbeatReceived(life("new"), 1);
        loop.advance(1000);
        address.called.clear();
        loop.advance(1000);
        assertEquals(1, address.called.stream().distinct().count());
        assertEquals(WorkerIncarnation.parse("new@1000"), address.called.get(0));
    }

    private static WorkerDescription again(long born, boolean leaves) {
        WorkerDescription life = life("one");
        return new WorkerDescription(
                WorkerIncarnation.parse("one@" + born),
                life.service(),
                life.address(),
                life.capacity(),
                life.hall(),
                life.labels(),
                leaves,
                0);
    }

    private long count(long born) {
        return address.called.stream()
                .filter(WorkerIncarnation.parse("one@" + born)::equals)
                .count();
    }

    @Test
    public void anIncarnationUnderTheSameIdReplacesThePreviousOneWhicheverStartedFirst() {
        for (long born : List.of(3000L, 2000L)) {
            address.present = WorkerIncarnation.parse("one@" + born);
            agent.heartbeatReceived(again(born, false), 1);
            loop.advance(1000);
        }
        address.called.clear();
        agent.heartbeatReceived(again(3000, false), 9);
        loop.advance(1000);
        assertEquals(0, count(3000));
        assertTrue(count(2000) > 0);
    }

    /** A departure names the id alone; it was sent by the life before, and came late. */
    @Test
    public void aLateDepartureDoesNotEndAnIncarnationThatAnswers() {
        for (boolean leaves : List.of(false, true)) {
            address.present = WorkerIncarnation.parse("one@2000");
            agent.heartbeatReceived(again(2000, leaves), leaves ? 2 : 1);
            loop.advance(1000);
            agent.workerLeft(WorkerId.parse("one"));
            loop.advance(3000);
            address.called.clear();
            loop.advance(1000);
            assertTrue(count(2000) > 0, "leaves: " + leaves);
        }
    }

    @Test
    public void aWorkerThatLeavesAndStopsAnsweringHasEnded() {
        address.present = WorkerIncarnation.parse("one@2000");
        agent.heartbeatReceived(again(2000, true), 1);
        loop.advance(1000);
        agent.workerLeft(WorkerId.parse("one"));
        address.silent = true;
        loop.advance(1000);
        address.called.clear();
        loop.advance(1000);
        assertEquals(0, count(2000));
    }

    @Test
    public void aHeartbeatWithoutAStartTimeIsIgnoredForAWorkerThatHasSentOne() {
        address.present = WorkerIncarnation.parse("one@2000");
        agent.heartbeatReceived(again(2000, false), 1);
        loop.advance(1000);
        WorkerDescription present = again(2000, true);
        agent.heartbeatReceived(
                new WorkerDescription(
                        WorkerIncarnation.parse("one"),
                        present.service(),
                        present.address(),
                        present.capacity(),
                        present.hall(),
                        present.labels(),
                        true,
                        0),
                9);
        loop.advance(1000);
        assertTrue(address.called.stream().allMatch(WorkerIncarnation.parse("one@2000")::equals));
        assertTrue(!address.last.draining());
    }

    /** One id may be used again thousands of times. */
    @Test
    public void theNumberOfRememberedEndedIncarnationsIsBounded() {
        EndedIncarnations ended = new EndedIncarnations();
        for (int born = 0; born < 10_000; born++) {
            assertTrue(ended.add(WorkerIncarnation.parse("one@" + born), 1000));
        }
        assertTrue(ended.list().size() < 100);
        assertTrue(ended.contains(WorkerIncarnation.parse("one@9999")));
    }
}
