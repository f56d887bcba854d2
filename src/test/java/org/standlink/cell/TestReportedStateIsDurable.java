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
package org.standlink.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeLoop;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobState;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.Message;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests that what a leader has told to callers and agents is known to the next one, wherever in its
 * code something is thrown.
 *
 * <p>Seen: after an outage of the store callers were told that jobs were accepted and completed,
 * and workers that their ends were recorded, and the next leader started these tasks again or did
 * not know the jobs.
 *
 * <p>How it came about: the changes to be kept are taken from the parts of the state one after the
 * other. The jobs had handed theirs out when the next part threw an error, so no append was begun.
 * The leader went on. What had waited to be told was told after the next append, which held only
 * what had changed since.
 *
 * <p>Cause: a throw between taking changes and keeping them lost the changes, but not what waited
 * for them. The lines that showed it: {@code NoClassDefFoundError ... at
 * InterferencePersistence.takeChanges ... at CommitQueue.pump} and {@code "lost":43}; in another
 * play, a first append of six records after 8.5 s without the store.
 *
 * <p>Proof: a leader whose clock throws once, at each of its readings in turn, which are spread
 * over all that a leader does; and a queue whose sources and effects throw at each of their calls.
 */
public class TestReportedStateIsDurable {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final int JOBS = 6;
    private static final long NEVER = Long.MAX_VALUE;

    /** Throws once, when it is read for the n-th time. */
    private static final class ThrowingClock implements MonotonicClock {

        private final FakeClock clock;
        private final Supplier<Throwable> thrown;
        private long left = NEVER;
        private long readings;

        ThrowingClock(FakeClock clock, Supplier<Throwable> thrown) {
            this.clock = clock;
            this.thrown = thrown;
        }

        /** Begins to count readings. */
        void arm(long reading) {
            left = reading;
            readings = 0;
        }

        @Override
        public long nowMillis() {
            readings++;
            left--;
            if (left == 0) {
                throwUnchecked(thrown.get());
            }
            return clock.nowMillis();
        }
    }

    private static void throwUnchecked(Throwable thrown) {
        if (thrown instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) thrown;
    }

    /** What a leader that may throw does on a busy second, and what is left of it. */
    private static final class Play {

        private final FakeClock clock = new FakeClock();
        private final FakeLoop loop = new FakeLoop(clock);
        private final FakeKeyedStore store = new FakeKeyedStore();
        private final FakeChannel entry = new FakeChannel();
        private final FakeChannel agent = new FakeChannel();
        private final Map<RunId, Long> ended = new LinkedHashMap<>();
        private final Map<Long, JobId> questions = new LinkedHashMap<>();
        private final ThrowingClock leaderClock;
        private final JobCellLeader leader;
        private Fence fence = Fence.NONE;
        private long call;
        private long sequence;

        Play(long reading, Supplier<Throwable> thrown) {
            leaderClock = new ThrowingClock(clock, thrown);
            leader =
                    new JobCellLeader(
                            Epoch.of(1),
                            store,
                            new CellTimes(6000, 120_000),
                            leaderClock,
                            clock::nowMillis,
                            () -> CellFixtures.CONFIGURATION,
                            () -> EvacuatedHalls.NONE,
                            loop,
                            () -> {});
            leaderClock.arm(reading);
        }

        /** Lets time pass; what is thrown on the loop ends the piece of work that threw it. */
        private void advance(long millis) {
            long end = clock.nowMillis() + millis;
            while (clock.nowMillis() < end) {
                try {
                    loop.advance(end - clock.nowMillis());
                } catch (Throwable thrown) {
                    assertTrue(thrown.getMessage().startsWith("on purpose"), thrown::toString);
                }
            }
        }

        private void ask(JobId job, Message question) {
            questions.put(++call, job);
            leader.handle(entry, call, question);
            advance(5);
        }

        private void submit(String id, int tasks) {
            ask(JobId.parse(id), new SubmitJob(CellFixtures.job(id, tasks)));
        }

        private void report(List<RunId> running) {
            List<RunEnd> ends = new ArrayList<>();
            ended.forEach((run, number) -> ends.add(new RunEnd(number, run, RunEndKind.DONE, "")));
            WorkerReport part =
                    new WorkerReport(
                            WORKER,
                            true,
                            false,
                            true,
                            running.stream().map(run -> new RunProgress(run, "", 50, 0)).toList(),
                            ends,
                            List.of(),
                            List.of(),
                            List.of(),
                            true);
            leader.handle(
                    agent,
                    ++call,
                    new AgentReport(
                            "node",
                            "a:1",
                            Incarnation.of(1),
                            ++sequence,
                            fence.getEpoch(),
                            fence.getGeneration(),
                            false,
                            List.of(part),
                            List.of()));
            advance(10);
            if (agent.findAnswer(call) instanceof AgentGrant grant) {
                fence = Fence.of(grant.epoch(), grant.generation());
            }
        }

        /** All runs that were ordered to start end well. */
        private void endAll() {
            for (RunId run : agent.starts()) {
                ended.computeIfAbsent(run, key -> ended.size() + 1L);
            }
        }

        void play() {
            leader.start();
            advance(20);
            report(List.of());
            for (int i = 0; i < JOBS; i++) {
                submit("a" + i, 1);
                report(agent.starts());
                endAll();
            }
            report(List.of());
            store.setMode(FakeKeyedStore.Mode.SILENT);
            submit("b0", 2);
            report(List.of());
            ask(JobId.parse("a5"), new CancelJob(JobId.parse("a5"), "q"));
            advance(400);
            submit("b1", 1);
            store.setMode(FakeKeyedStore.Mode.UP);
            advance(300);
            endAll();
            report(List.of());
            report(List.of());
            advance(4100);
            for (String id : List.of("a0", "a1", "a2", "a3", "a4", "a5", "b0", "b1")) {
                ask(JobId.parse(id), new JobQuery(JobId.parse(id), "q"));
            }
            submit("c0", 1);
            advance(300);
        }

        /** Lists what was told and is not so at the next leader. */
        List<String> findForgotten() {
            JobCellLeader next = CellFixtures.startLeader(2, store, clock, loop);
            List<String> forgotten = new ArrayList<>();
            for (Map.Entry<JobId, JobState> told : listTold().entrySet()) {
                long asked = ++call;
                next.handle(entry, asked, new JobQuery(told.getKey(), "q"));
                advance(50);
                JobState known = ((JobAnswer) entry.findAnswer(asked)).state();
                boolean goesBack = told.getValue().isFinal() && known != told.getValue();
                if (known == null || goesBack) {
                    forgotten.add(told + " is " + known);
                }
            }
            forgotten.addAll(findForgottenEnds());
            return forgotten;
        }

        private List<String> findForgottenEnds() {
            JobRegistry read = new JobRegistry();
            List<KeyedRecord> records = store.readNewest(Topic.CELL).join().records();
            read.restore(records);
            long recorded = agent.greatestRecordedEnd();
            List<String> forgotten = new ArrayList<>();
            ended.forEach(
                    (run, number) -> {
                        JobEntry job = read.find(run.task().job());
                        boolean kept =
                                job != null
                                        && (job.getState().isFinal()
                                                || job.findTask(run.task()).isDone());
                        if (number <= recorded && !kept) {
                            forgotten.add("the end of " + run);
                        }
                    });
            return forgotten;
        }

        /** The last state of each job that any answer told. */
        private Map<JobId, JobState> listTold() {
            Map<JobId, JobState> told = new LinkedHashMap<>();
            questions.forEach(
                    (number, job) -> {
                        if (entry.findAnswer(number) instanceof JobAnswer answer
                                && answer.state() != null) {
                            told.put(job, answer.state());
                        }
                    });
            return told;
        }
    }

    private static List<String> playAll(Supplier<Throwable> thrown) {
        Play calm = new Play(NEVER, thrown);
        calm.play();
        assertEquals(List.of(), calm.findForgotten());
        assertTrue(calm.listTold().size() > JOBS, "callers were answered");
        assertTrue(calm.agent.greatestRecordedEnd() >= JOBS, "ends were recorded");
        List<String> found = new ArrayList<>();
        for (long reading = 1; reading <= calm.leaderClock.readings; reading++) {
            Play play = new Play(reading, thrown);
            play.play();
            for (String one : play.findForgotten()) {
                found.add("reading " + reading + ": " + one);
            }
        }
        return found;
    }

    @Test
    public void reportedStateIsDurableWhateverExceptionIsThrown() {
        assertEquals(List.of(), playAll(() -> new IllegalStateException("on purpose")));
    }

    @Test
    public void reportedStateIsDurableWhateverErrorIsThrown() {
        assertEquals(List.of(), playAll(() -> new NoClassDefFoundError("on purpose")));
    }
}
