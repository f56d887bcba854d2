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
import org.standlink.FakeLoop;
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
 * Plays an agent beside a worker that does not guard its room, leaves calls unanswered and carries
 * them out late, and a leader that gives room again only as the agent's reports allow.
 */
public class TestUnenforcedCapacity {

    private static final int ROOM = 3;
    private static final int TASKS = 8;
    private static final long DAY_MILLIS = 25_000;
    private static final long LEADER_MILLIS = 50;
    private static final long LEASE_MILLIS = 6000;
    private static final Fence FENCE = Fence.of(Epoch.of(1), LeaseGeneration.of(1));
    private static final WorkerIncarnation ID = WorkerIncarnation.parse("i-1@1000");
    private static final WorkerDescription WORKER =
            new WorkerDescription(
                    ID,
                    "s",
                    "10.0.0.1:1",
                    new Resources(ROOM, ROOM, 0),
                    HallId.parse("h"),
                    List.of(),
                    false,
                    0);

    /** One day with one seed. */
    private static final class Day {

        private final Random random;
        private final FakeClock clock = new FakeClock();
        private final FakeLoop loop = new FakeLoop(clock);
        private final LateWorker worker = new LateWorker();
        private final WorkerSupervisor supervisor;
        private final Map<TaskName, RunId> taken = new LinkedHashMap<>();
        private final Map<TaskName, Integer> lastRun = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long handledEnd;
        private int started;

        Day(long seed) {
            random = new Random(seed);
            supervisor =
                    new WorkerSupervisor(
                            WORKER,
                            worker,
                            clock,
                            loop,
                            () -> clock.nowMillis() + LEASE_MILLIS,
                            () -> FENCE,
                            () -> {},
                            RunnerFixtures.NO_OP_LISTENER,
                            new InterferenceTable());
        }

        void play() {
            supervisor.start();
            loop.scheduleWithFixedDelay(
                    this::lead, LEADER_MILLIS, LEADER_MILLIS, TimeUnit.MILLISECONDS);
            loop.advance(DAY_MILLIS);
        }

        /** Frees what the report says is over, and gives what is free to the next task. */
        private void lead() {
            WorkerReport report = supervisor.createReport();
            for (RunEnd end : report.ended()) {
                if (end.number() > handledEnd) {
                    handledEnd = end.number();
                    free(end.run());
                }
            }
            report.refused().stream().map(StartRefusal::run).forEach(this::free);
            report.gone().forEach(this::free);
            if (report.lapsed()) {
                taken.clear();
            }
            supervisor.reportAcknowledged(report);
            List<StartOrder> starts = new ArrayList<>();
            while (report.reachable() && taken.size() < ROOM) {
                starts.add(next());
            }
            List<RunId> stops = new ArrayList<>();
            if (random.nextInt(10) == 0 && !taken.isEmpty()) {
                stops.add(taken.values().iterator().next());
            }
            supervisor.applyOrders(
                    new RunOrders(
                            Epoch.of(1), FENCE.getGeneration(), ID, starts, stops, handledEnd));
        }

        private void free(RunId run) {
            taken.remove(run.task(), run);
        }

        private StartOrder next() {
            TaskName task;
            do {
                task = TaskName.parse("j.0.0." + random.nextInt(TASKS));
            } while (taken.containsKey(task));
            RunId run = new RunId(task, lastRun.merge(task, 1, Integer::sum));
            taken.put(task, run);
            return new StartOrder(run, "text", "", false, 0, "");
        }

        /** The worker. */
        private final class LateWorker implements WorkerClient {

            private final Map<RunId, Long> running = new LinkedHashMap<>();
            private final Map<TaskName, Integer> barred = new HashMap<>();
            private final List<RunEnd> ended = new ArrayList<>();
            private long leaseUntil;

            private CallResult result(CallResult.Kind kind) {
                long told = kind == CallResult.Kind.UNKNOWN ? -1 : clock.nowMillis();
                return new CallResult(kind, told, "scripted");
            }

            /** Does a call now or late, or not at all, and answers it or not. */
            private CompletableFuture<CallResult> call(Runnable effect) {
                CompletableFuture<CallResult> answer = new CompletableFuture<>();
                int fate = random.nextInt(10);
                CallResult.Kind kind = CallResult.Kind.DONE;
                long answerAfter = 10;
                if (fate == 0) {
                    kind = CallResult.Kind.UNWELL;
                } else if (fate <= 3) {
                    kind = CallResult.Kind.UNKNOWN;
                    answerAfter = 500;
                    long late = fate == 1 ? 5 : 2000 + random.nextInt(6000);
                    loop.schedule(effect, late, TimeUnit.MILLISECONDS);
                } else {
                    loop.schedule(effect, 5, TimeUnit.MILLISECONDS);
                }
                CallResult told = result(kind);
                loop.schedule(
                        () -> {
                            answer.complete(told);
                        },
                        answerAfter,
                        TimeUnit.MILLISECONDS);
                return answer;
            }

            private void end(RunId run, RunEndKind kind) {
                if (running.remove(run) != null) {
                    barred.merge(run.task(), run.number(), Math::max);
                    ended.add(new RunEnd(ended.size() + 1, run, kind, ""));
                }
            }

            private void begin(RunId run, long until) {
                boolean late = until <= clock.nowMillis();
                boolean old = run.number() <= barred.getOrDefault(run.task(), 0);
                if (late || old || running.containsKey(run)) {
                    return;
                }
                leaseUntil = Math.max(leaseUntil, until);
                boolean twice =
                        running.keySet().stream().anyMatch(r -> r.task().equals(run.task()));
                running.put(run, clock.nowMillis());
                started++;
                if (twice || running.size() > ROOM) {
                    violations.add(clock.nowMillis() + " " + run + " beside " + running.keySet());
                }
                loop.schedule(
                        () -> end(run, RunEndKind.DONE),
                        300 + random.nextInt(3000),
                        TimeUnit.MILLISECONDS);
            }

            @Override
            public CompletableFuture<CallResult> start(
                    WorkerDescription to, StartOrder order, long until, Fence fence) {
                return call(() -> begin(order.run(), until));
            }

            @Override
            public CompletableFuture<CallResult> stop(
                    WorkerDescription to, RunId run, Fence fence) {
                return call(
                        () -> {
                            barred.merge(run.task(), run.number(), Math::max);
                            loop.schedule(
                                    () -> end(run, RunEndKind.STOPPED), 200, TimeUnit.MILLISECONDS);
                        });
            }

            @Override
            public CompletableFuture<RenewalResult> renew(
                    WorkerDescription to, long until, Fence fence, long recorded, long waitMillis) {
                if (clock.nowMillis() > leaseUntil) {
                    List.copyOf(running.keySet()).forEach(run -> end(run, RunEndKind.LAPSED));
                }
                leaseUntil = Math.max(leaseUntil, until);
                boolean answers = random.nextInt(20) > 0;
                CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
                loop.schedule(
                        () -> {
                            answer.complete(
                                    answers
                                            ? lists(recorded)
                                            : new RenewalResult(
                                                    result(CallResult.Kind.UNKNOWN),
                                                    ID,
                                                    List.of(),
                                                    List.of()));
                        },
                        answers ? Math.max(10, waitMillis) : 500,
                        TimeUnit.MILLISECONDS);
                return answer;
            }

            private RenewalResult lists(long recorded) {
                return new RenewalResult(
                        result(CallResult.Kind.DONE),
                        ID,
                        running.keySet().stream()
                                .map(run -> new RunProgress(run, "", 50, 0))
                                .toList(),
                        ended.stream().filter(end -> end.number() > recorded).toList());
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
        Day day = new Day(seed);
        day.play();
        assertTrue(day.violations.isEmpty(), () -> seed + " " + day.violations.get(0));
        assertTrue(day.started > 5, () -> seed + " started only " + day.started);
    }
}
