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

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.HallId;
import org.standlink.LeaseGeneration;
import org.standlink.Resources;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.RunOrders;
import org.standlink.wire.StartOrder;
import org.standlink.wire.StartRefusal;
import org.standlink.wire.WorkerReport;

/**
 * Simulates an agent beside a worker that does not enforce its capacity, leaves calls unanswered
 * and carries them out late, and a leader that assigns capacity again only as the agent's reports
 * allow.
 */
public class TestUnenforcedCapacity {

    private static final int CAPACITY = 3;
    private static final int TASKS = 8;
    private static final long DURATION_MILLIS = 25_000;
    private static final long LEADER_INTERVAL_MILLIS = 50;
    private static final long LEASE_MILLIS = 6000;
    private static final Epoch EPOCH = Epoch.of(1);
    private static final WorkerIncarnation INCARNATION = WorkerIncarnation.parse("i-1@1000");
    private static final WorkerDescription WORKER =
            new WorkerDescription(
                    INCARNATION,
                    "s",
                    "10.0.0.1:1",
                    new Resources(CAPACITY, CAPACITY, 0),
                    HallId.parse("h"),
                    List.of(),
                    false,
                    0);

    /** One simulated scenario with one seed. */
    private static final class Scenario {

        private final Random random;
        private final FakeClock clock = new FakeClock();
        private final FakeEventLoop loop = new FakeEventLoop(clock);
        private final DelayedWorker worker = new DelayedWorker();
        private final WorkerSupervisor supervisor;
        private final Map<TaskName, RunId> assigned = new LinkedHashMap<>();
        private final Map<TaskName, Integer> lastRun = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long lastHandledEnd;
        private int startCount;
        private LeaseGeneration generation = LeaseGeneration.of(1);
        private boolean synced = true;
        private boolean acknowledgementLost;

        Scenario(long seed) {
            random = new Random(seed);
            supervisor =
                    new WorkerSupervisor(
                            WORKER,
                            worker,
                            clock,
                            loop,
                            () -> clock.nowMillis() + LEASE_MILLIS,
                            this::getFence,
                            () -> {},
                            RunnerFixtures.NO_OP_LISTENER,
                            new InterferenceTable());
        }

        private Fence getFence() {
            return Fence.of(EPOCH, generation);
        }

        void run() {
            supervisor.start();
            loop.scheduleWithFixedDelay(
                    this::runLeader,
                    LEADER_INTERVAL_MILLIS,
                    LEADER_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            loop.advance(DURATION_MILLIS);
        }

        /**
         * Releases the runs that the report shows as ended, and assigns free capacity to the next
         * tasks.
         */
        private void runLeader() {
            // Not for repeated starts: a higher fence would bar all of the late ones.
            if (acknowledgementLost && supervisor.isHigherFenceRequired()) {
                acknowledgementLost = false;
                generation = generation.next();
                synced = false;
                supervisor.fenceRaised();
            }
            WorkerReport report = supervisor.createReport();
            for (RunEnd end : report.ended()) {
                if (end.number() > lastHandledEnd) {
                    lastHandledEnd = end.number();
                    release(end.run());
                }
            }
            report.refused().stream().map(StartRefusal::run).forEach(this::release);
            report.gone().forEach(this::release);
            if (report.lapsed()) {
                assigned.clear();
            }
            supervisor.reportAcknowledged(report);
            List<StartOrder> starts = new ArrayList<>();
            if (!synced && report.listsComplete()) {
                synced = true;
                assigned.values().forEach(run -> starts.add(toOrder(run)));
            }
            while (synced && report.reachable() && assigned.size() < CAPACITY) {
                starts.add(nextOrder());
            }
            List<RunId> stops = new ArrayList<>();
            if (random.nextInt(10) == 0 && !assigned.isEmpty()) {
                stops.add(assigned.values().iterator().next());
            }
            supervisor.applyOrders(
                    new RunOrders(EPOCH, generation, INCARNATION, starts, stops, lastHandledEnd));
        }

        private void release(RunId run) {
            assigned.remove(run.task(), run);
        }

        private StartOrder nextOrder() {
            TaskName task;
            do {
                task = TaskName.parse("j.0.0." + random.nextInt(TASKS));
            } while (assigned.containsKey(task));
            RunId run = new RunId(task, lastRun.merge(task, 1, Integer::sum));
            assigned.put(task, run);
            return toOrder(run);
        }

        private static StartOrder toOrder(RunId run) {
            return new StartOrder(run, "text", "", false, 0, "");
        }

        /** A worker that may carry out calls late or not answer them. */
        private final class DelayedWorker implements WorkerClient {

            private final Map<RunId, Long> running = new LinkedHashMap<>();
            private final Map<TaskName, Integer> barredUpTo = new HashMap<>();
            private final List<RunEnd> ended = new ArrayList<>();
            private long currentLeaseUntil;
            private Fence highestFence = Fence.NONE;

            private CallResult result(CallResult.Kind kind) {
                long clockMillis = kind == CallResult.Kind.UNKNOWN ? -1 : clock.nowMillis();
                return new CallResult(kind, clockMillis, "scripted");
            }

            private boolean admit(Fence fence) {
                if (fence.isAfter(highestFence)) {
                    highestFence = fence;
                }
                return fence.equals(highestFence);
            }

            /**
             * Carries out a call soon, late or not at all, with or without an answer. Nothing is
             * done under an earlier fence than that of another call.
             */
            private CompletableFuture<CallResult> deliver(Fence fence, Runnable operation) {
                Runnable effect =
                        () -> {
                            if (admit(fence)) {
                                operation.run();
                            }
                        };
                CompletableFuture<CallResult> answer = new CompletableFuture<>();
                int outcome = random.nextInt(10);
                CallResult.Kind kind = CallResult.Kind.DONE;
                long answerAfter = 10;
                if (outcome == 0) {
                    kind = CallResult.Kind.UNWELL;
                } else if (outcome <= 3) {
                    kind = CallResult.Kind.UNKNOWN;
                    answerAfter = 500;
                    long delay = outcome == 1 ? 5 : 2000 + random.nextInt(6000);
                    loop.schedule(effect, delay, TimeUnit.MILLISECONDS);
                } else {
                    loop.schedule(effect, 5, TimeUnit.MILLISECONDS);
                }
                CallResult result = result(kind);
                boolean done = kind == CallResult.Kind.DONE;
                loop.schedule(
                        () -> {
                            answer.complete(
                                    done && !admit(fence)
                                            ? result(CallResult.Kind.FENCED)
                                            : result);
                        },
                        answerAfter,
                        TimeUnit.MILLISECONDS);
                return answer;
            }

            private void endRun(RunId run, RunEndKind kind) {
                if (running.remove(run) != null) {
                    barredUpTo.merge(run.task(), run.number(), Math::max);
                    ended.add(new RunEnd(ended.size() + 1, run, kind, ""));
                }
            }

            private void startRun(RunId run, long leaseUntil) {
                boolean expired = leaseUntil <= clock.nowMillis();
                boolean barred = run.number() <= barredUpTo.getOrDefault(run.task(), 0);
                if (expired || barred || running.containsKey(run)) {
                    return;
                }
                currentLeaseUntil = Math.max(currentLeaseUntil, leaseUntil);
                boolean duplicate =
                        running.keySet().stream().anyMatch(r -> r.task().equals(run.task()));
                running.put(run, clock.nowMillis());
                startCount++;
                if (duplicate || running.size() > CAPACITY) {
                    violations.add(clock.nowMillis() + " " + run + " beside " + running.keySet());
                }
                loop.schedule(
                        () -> endRun(run, RunEndKind.DONE),
                        300 + random.nextInt(3000),
                        TimeUnit.MILLISECONDS);
            }

            @Override
            public CompletableFuture<CallResult> start(
                    WorkerDescription to, StartOrder order, long leaseUntil, Fence fence) {
                return deliver(fence, () -> startRun(order.run(), leaseUntil));
            }

            @Override
            public CompletableFuture<CallResult> stop(
                    WorkerDescription to, RunId run, Fence fence) {
                return deliver(
                        fence,
                        () -> {
                            barredUpTo.merge(run.task(), run.number(), Math::max);
                            loop.schedule(
                                    () -> endRun(run, RunEndKind.STOPPED),
                                    200,
                                    TimeUnit.MILLISECONDS);
                        });
            }

            @Override
            public CompletableFuture<RenewalResult> renew(
                    WorkerDescription to,
                    long leaseUntil,
                    Fence fence,
                    long recordedEnd,
                    long waitMillis) {
                if (!admit(fence)) {
                    return RunnerFixtures.completeLater(
                            loop, 10, RenewalResult.notDone(result(CallResult.Kind.FENCED)));
                }
                if (clock.nowMillis() > currentLeaseUntil) {
                    List.copyOf(running.keySet()).forEach(run -> endRun(run, RunEndKind.LAPSED));
                }
                currentLeaseUntil = Math.max(currentLeaseUntil, leaseUntil);
                boolean answers = random.nextInt(20) > 0;
                acknowledgementLost |= !answers && recordedEnd > 0;
                CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
                loop.schedule(
                        () -> {
                            answer.complete(
                                    answers
                                            ? createLists(recordedEnd)
                                            : new RenewalResult(
                                                    result(CallResult.Kind.UNKNOWN),
                                                    INCARNATION,
                                                    List.of(),
                                                    List.of()));
                        },
                        answers ? Math.max(10, waitMillis) : 500,
                        TimeUnit.MILLISECONDS);
                return answer;
            }

            private RenewalResult createLists(long recordedEnd) {
                return new RenewalResult(
                        result(CallResult.Kind.DONE),
                        INCARNATION,
                        running.keySet().stream()
                                .map(run -> new RunProgress(run, "", 50, 0))
                                .toList(),
                        ended.stream().filter(end -> end.number() > recordedEnd).toList());
            }

            @Override
            public CompletableFuture<CallResult> throttle(
                    WorkerDescription to, RunId run, int percent, Fence fence) {
                return CompletableFuture.completedFuture(result(CallResult.Kind.DONE));
            }
        }
    }

    @Property(tries = 60, seed = "20261202")
    void noInterleavingOfLateCallsExceedsTheCapacityOfAWorker(@ForAll long seed) {
        Scenario scenario = new Scenario(seed);
        scenario.run();
        assertTrue(scenario.violations.isEmpty(), () -> seed + " " + scenario.violations.get(0));
        assertTrue(scenario.startCount > 5, () -> seed + " started only " + scenario.startCount);
    }
}
