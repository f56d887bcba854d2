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
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.admission.AdmissionListener;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobState;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.WorkerDescription;
import org.standlink.lease.MonotonicClock;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.Message;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests that everything a leader has reported to callers and agents is known to the next leader,
 * wherever in the leader's code an exception or error is thrown.
 *
 * <p>Guards against lost state after an outage of the store: jobs had been reported to callers as
 * accepted and completed, and ends to workers as recorded, but the next leader restarted these
 * tasks or did not know the jobs. It comes about as follows. The changes to be stored are taken
 * from one change source after the other. When a source throws, here {@code NoClassDefFoundError}
 * in {@code InterferencePersistence.takeChanges} called by {@code CommitQueue.startAppend}, the
 * changes taken before are lost and no append is started. The effects that wait for them run after
 * the next append, which contains only what has changed since. The log of one such failure had
 * {@code "lost":43}; in another one the first append after 8.5 s without the store had six records.
 *
 * <p>The clock of the leader throws once, at each of its readings in turn, which are spread over
 * all of the leader's work. {@link TestThrowingChangeSources} covers sources and effects that
 * throw.
 */
public class TestReportedStateIsDurable {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final int JOBS = 6;
    private static final long NEVER = Long.MAX_VALUE;

    /** A clock that throws once, at a chosen reading. */
    private static final class ThrowingClock implements MonotonicClock {

        private final FakeClock clock;
        private final Supplier<Throwable> thrown;
        private long readingsUntilThrow = NEVER;
        private long readings;

        ThrowingClock(FakeClock clock, Supplier<Throwable> thrown) {
            this.clock = clock;
            this.thrown = thrown;
        }

        /** Chooses the reading that throws, counted from now. */
        void throwAtReading(long reading) {
            readingsUntilThrow = reading;
            readings = 0;
        }

        @Override
        public long nowMillis() {
            readings++;
            readingsUntilThrow--;
            if (readingsUntilThrow == 0) {
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

    /** A leader that may throw under load, and a check of what the next leader restores. */
    private static final class Scenario {

        private final FakeClock clock = new FakeClock();
        private final FakeEventLoop loop = new FakeEventLoop(clock);
        private final FakeKeyedStore store = new FakeKeyedStore();
        private final FakeChannel entry = new FakeChannel();
        private final FakeChannel agent = new FakeChannel();
        private final Map<RunId, Long> ended = new LinkedHashMap<>();
        private final Map<Long, JobId> requests = new LinkedHashMap<>();
        private final ThrowingClock leaderClock;
        private final JobCellLeader leader;
        private Fence fence = Fence.NONE;
        private long call;
        private long sequence;

        Scenario(long reading, Supplier<Throwable> thrown) {
            leaderClock = new ThrowingClock(clock, thrown);
            leader =
                    new JobCellLeader(
                            new WriterId(Epoch.of(1), Incarnation.of(1)),
                            store,
                            new CellTimes(6000, 120_000),
                            ContentionOptions.NONE,
                            OrderMetrics.NONE,
                            leaderClock,
                            clock::nowMillis,
                            () -> CellFixtures.CONFIGURATION,
                            () -> EvacuatedHalls.NONE,
                            loop,
                            AdmissionListener.NONE,
                            () -> {});
            leaderClock.throwAtReading(reading);
        }

        /** Lets time pass; an exception on the event loop ends only the task that threw it. */
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

        private void ask(JobId job, Message request) {
            requests.put(++call, job);
            leader.handle(entry, call, request);
            advance(5);
        }

        private void submit(String id, int tasks) {
            ask(JobId.parse(id), new SubmitJob(CellFixtures.job(id, tasks)));
        }

        private void report(List<RunId> running) {
            List<RunEnd> ends = new ArrayList<>();
            ended.forEach((run, number) -> ends.add(new RunEnd(number, run, RunEndKind.DONE, "")));
            WorkerReport workerReport =
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
                            true,
                            List.of());
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
                            List.of(workerReport),
                            List.of(),
                            List.of()));
            advance(10);
            if (agent.findAnswer(call) instanceof AgentGrant grant) {
                fence = Fence.of(grant.epoch(), grant.generation());
            }
        }

        /** Completes all runs that were ordered to start. */
        private void endAllRuns() {
            for (RunId run : agent.starts()) {
                ended.computeIfAbsent(run, key -> ended.size() + 1L);
            }
        }

        void run() {
            leader.start();
            advance(20);
            report(List.of());
            for (int i = 0; i < JOBS; i++) {
                submit("a" + i, 1);
                report(agent.starts());
                endAllRuns();
            }
            report(List.of());
            store.setMode(FakeKeyedStore.Mode.UNRESPONSIVE);
            submit("b0", 2);
            report(List.of());
            ask(JobId.parse("a5"), new CancelJob(JobId.parse("a5"), "q"));
            advance(400);
            submit("b1", 1);
            store.setMode(FakeKeyedStore.Mode.UP);
            advance(300);
            endAllRuns();
            report(List.of());
            report(List.of());
            advance(4100);
            for (String id : List.of("a0", "a1", "a2", "a3", "a4", "a5", "b0", "b1")) {
                ask(JobId.parse(id), new JobQuery(JobId.parse(id), "q"));
            }
            submit("c0", 1);
            advance(300);
        }

        /** Lists the reported states that the next leader does not know or has reverted. */
        List<String> findLostState() {
            JobCellLeader next = CellFixtures.startLeader(2, store, clock, loop);
            List<String> lost = new ArrayList<>();
            for (Map.Entry<JobId, JobState> reported : listReportedStates().entrySet()) {
                long query = ++call;
                next.handle(entry, query, new JobQuery(reported.getKey(), "q"));
                advance(50);
                JobState known = ((JobAnswer) entry.findAnswer(query)).state();
                boolean reverted = reported.getValue().isFinal() && known != reported.getValue();
                if (known == null || reverted) {
                    lost.add(reported + " is " + known);
                }
            }
            lost.addAll(findLostEnds());
            return lost;
        }

        private List<String> findLostEnds() {
            JobRegistry restoredJobs = new JobRegistry();
            List<KeyedRecord> records = store.readNewest(Topic.CELL).join().records();
            restoredJobs.restore(records);
            long recorded = agent.greatestRecordedEnd();
            List<String> lost = new ArrayList<>();
            ended.forEach(
                    (run, number) -> {
                        JobEntry job = restoredJobs.find(run.task().job());
                        boolean persisted =
                                job != null
                                        && (job.getState().isFinal()
                                                || job.findTask(run.task()).isDone());
                        if (number <= recorded && !persisted) {
                            lost.add("the end of " + run);
                        }
                    });
            return lost;
        }

        /** Lists the last reported state of each job. */
        private Map<JobId, JobState> listReportedStates() {
            Map<JobId, JobState> reported = new LinkedHashMap<>();
            requests.forEach(
                    (number, job) -> {
                        if (entry.findAnswer(number) instanceof JobAnswer answer
                                && answer.state() != null) {
                            reported.put(job, answer.state());
                        }
                    });
            return reported;
        }
    }

    private static List<String> findLostStateOfAllRuns(Supplier<Throwable> thrown) {
        Scenario withoutThrow = new Scenario(NEVER, thrown);
        withoutThrow.run();
        assertEquals(List.of(), withoutThrow.findLostState());
        assertTrue(withoutThrow.listReportedStates().size() > JOBS, "callers were answered");
        assertTrue(withoutThrow.agent.greatestRecordedEnd() >= JOBS, "ends were recorded");
        List<String> found = new ArrayList<>();
        for (long reading = 1; reading <= withoutThrow.leaderClock.readings; reading++) {
            Scenario scenario = new Scenario(reading, thrown);
            scenario.run();
            for (String state : scenario.findLostState()) {
                found.add("reading " + reading + ": " + state);
            }
        }
        return found;
    }

    @Test
    public void reportedStateIsDurableWhateverExceptionIsThrown() {
        assertEquals(
                List.of(), findLostStateOfAllRuns(() -> new IllegalStateException("on purpose")));
    }

    @Test
    public void reportedStateIsDurableWhateverErrorIsThrown() {
        assertEquals(
                List.of(), findLostStateOfAllRuns(() -> new NoClassDefFoundError("on purpose")));
    }
}
