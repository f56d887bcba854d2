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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.LeaseGeneration;
import org.standlink.admission.AdmissionListener;
import org.standlink.job.Configuration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobDefinition;
import org.standlink.job.QueueDefinition;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.StepDefinition;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.Topic;
import org.standlink.store.WriterId;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.CancelJob;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests what a leader answers to a burst that its workers cannot serve in time.
 *
 * <p>Guards against refusing urgent, accepted or long-running jobs, against refusals that were
 * stored or started all the same, and against refusals by a leader that does not know its workers.
 * The worker has 8 cores. A heavy job occupies them for 625 ms, and is of use for 6 s.
 */
public class TestJobAdmission {

    private static final long RUN_MILLIS = 500;
    private static final long REPORT_MILLIS = 100;
    private static final int BURST = 20;

    private static final Configuration CONFIGURATION =
            new Configuration(
                    1, List.of(queue("heavy", 2, 1500), queue("quick", 0, 250)), List.of(), 1000);

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();

    /** When each run on the worker started. */
    private final Map<RunId, Long> running = new LinkedHashMap<>();

    private final Set<RunId> everStarted = new LinkedHashSet<>();
    private final RecordingListener listener = new RecordingListener();
    private JobCellLeader leader;
    private AgentGrant grant = new AgentGrant(Epoch.NONE, LeaseGeneration.NONE, 0, 0, List.of());
    private long sequence;
    private long ends;
    private long call = 1_000_000;

    /** Records the last notifications. */
    private static final class RecordingListener implements AdmissionListener {
        private int refused;
        private double startSeconds = Double.NaN;

        @Override
        public void backlogMeasured(String service, int priority, double work, double start) {
            startSeconds = priority == 2 ? start : startSeconds;
        }

        @Override
        public void backlogUnknown() {
            startSeconds = Double.NaN;
        }

        @Override
        public void submissionRefused(String queue) {
            refused += queue.equals("heavy") ? 1 : 0;
        }
    }

    private static QueueDefinition queue(String name, int priority, long targetMillis) {
        return new QueueDefinition(name, "h", "/", "s", priority, 2, targetMillis, 1, false);
    }

    private static JobDefinition job(String id, String queue, int tasks, boolean longRunning) {
        StepDefinition step = CellFixtures.step(tasks, List.of(), 0, longRunning);
        return new JobDefinition(JobId.parse(id), queue, "", List.of(step), 0, 0, 0);
    }

    private void startLeader(long epoch, boolean backlogAdmission) {
        leader =
                new JobCellLeader(
                        new WriterId(Epoch.of(epoch), Incarnation.of(epoch)),
                        store,
                        new CellTimes(6000, 120_000),
                        new ContentionOptions(false, backlogAdmission),
                        OrderMetrics.NONE,
                        clock,
                        clock::nowMillis,
                        () -> CONFIGURATION,
                        () -> EvacuatedHalls.NONE,
                        loop,
                        listener,
                        () -> {});
        leader.start();
        loop.advance(20);
    }

    /** Lets the worker run its tasks and report them. */
    private void pass(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += REPORT_MILLIS) {
            loop.advance(REPORT_MILLIS);
            agent.starts().stream()
                    .filter(everStarted::add)
                    .forEach(run -> running.put(run, clock.nowMillis()));
            report();
        }
    }

    private void report() {
        List<RunEnd> ended = new ArrayList<>();
        List<RunProgress> progress = new ArrayList<>();
        for (RunId run : List.copyOf(running.keySet())) {
            long percent = (clock.nowMillis() - running.get(run)) * 100 / RUN_MILLIS;
            if (percent >= 100) {
                running.remove(run);
                ended.add(new RunEnd(++ends, run, RunEndKind.DONE, ""));
            } else {
                progress.add(new RunProgress(run, "", (int) percent, 0));
            }
        }
        List<WorkerReport> workers =
                List.of(
                        new WorkerReport(
                                CellFixtures.worker("i-1", 8),
                                true,
                                false,
                                true,
                                progress,
                                ended,
                                List.of(),
                                List.of(),
                                List.of(),
                                true,
                                List.of()));
        leader.handle(
                agent,
                ++sequence,
                new AgentReport(
                        "node",
                        "a:1",
                        Incarnation.of(1),
                        sequence,
                        grant.epoch(),
                        grant.generation(),
                        false,
                        workers,
                        List.of(),
                        List.of()));
        loop.advance(0);
        grant = (AgentGrant) agent.findAnswer(sequence);
    }

    private JobAnswer submit(JobDefinition job) {
        leader.handle(entry, ++call, new SubmitJob(job));
        loop.advance(20);
        return (JobAnswer) entry.findAnswer(call);
    }

    private JobAnswer submitHeavy(int number) {
        return submit(job("heavy-" + number, "heavy", 10, false));
    }

    /** Submits a burst; returns the answers by number of the job. */
    private Map<Integer, JobAnswer> submitBurst() {
        Map<Integer, JobAnswer> answers = new LinkedHashMap<>();
        for (int number = 0; number < BURST; number++) {
            answers.put(number, submitHeavy(number));
        }
        return answers;
    }

    private static Stream<Map.Entry<Integer, JobAnswer>> refused(Map<Integer, JobAnswer> answers) {
        return answers.entrySet().stream()
                .filter(answer -> answer.getValue().result() == JobAnswer.Result.NOT_DONE);
    }

    private boolean isStored(JobId job) {
        return store.getRecords(Topic.CELL).stream()
                .anyMatch(record -> record.key().endsWith("/" + job));
    }

    // -----------------------------------------------------------------------
    @Test
    public void burstIsRefusedInPartAndReturningCallersAreAccepted() {
        startLeader(1, true);
        pass(2000);
        Map<Integer, JobAnswer> answers = submitBurst();
        long burstEnd = clock.nowMillis();
        List<Map.Entry<Integer, JobAnswer>> refusals = refused(answers).toList();
        assertEquals(refusals.size(), listener.refused);
        assertTrue(refusals.size() >= 4 && refusals.size() <= BURST - 4, answers.toString());
        assertEquals(JobAnswer.Result.DONE, submit(job("quick", "quick", 4, false)).result());
        assertEquals(JobAnswer.Result.DONE, submit(job("serving", "quick", 1, true)).result());
        assertEquals(JobAnswer.Result.DONE, submitHeavy(0).result(), "accepted before");
        for (Map.Entry<Integer, JobAnswer> refusal : refusals) {
            JobId id = JobId.parse("heavy-" + refusal.getKey());
            assertFalse(isStored(id), "a refused job is not stored");
            leader.handle(entry, ++call, new JobQuery(id, "heavy"));
            loop.advance(5);
            assertEquals(
                    JobAnswer.Result.NO_SUCH_JOB, ((JobAnswer) entry.findAnswer(call)).result());
        }
        List<Map.Entry<Integer, JobAnswer>> returning = new ArrayList<>(refusals);
        returning.sort((a, b) -> Long.compare(seconds(a), seconds(b)));
        for (Map.Entry<Integer, JobAnswer> refusal : returning) {
            pass(Math.max(0, burstEnd + 1000 * seconds(refusal) - clock.nowMillis()));
            JobAnswer answer = submitHeavy(refusal.getKey());
            if (answer.result() == JobAnswer.Result.NOT_DONE) {
                // The backlog drained more slowly than predicted.
                pass(1000 * answer.retryAfterSeconds());
                answer = submitHeavy(refusal.getKey());
            }
            assertEquals(JobAnswer.Result.DONE, answer.result());
        }
        assertTrue(returning.stream().map(TestJobAdmission::seconds).distinct().count() > 1);
        pass(10_000);
        long heavyRuns = everStarted.stream().filter(run -> isOf(run, "heavy")).count();
        assertEquals(10 * BURST, heavyRuns, "each job ran once");
    }

    private static long seconds(Map.Entry<Integer, JobAnswer> refusal) {
        return refusal.getValue().retryAfterSeconds();
    }

    private static boolean isOf(RunId run, String prefix) {
        return run.task().job().toString().startsWith(prefix);
    }

    @Test
    public void everyJobIsAcceptedIfTurnedOff() {
        startLeader(1, false);
        pass(2000);
        for (JobAnswer answer : submitBurst().values()) {
            assertEquals(JobAnswer.Result.DONE, answer.result());
            assertEquals(0, answer.retryAfterSeconds());
        }
        pass(1000);
        assertTrue(Double.isNaN(listener.startSeconds), "nothing is measured");
    }

    @Test
    public void newLeaderAcceptsEverythingUntilItKnowsItsWorkers() {
        startLeader(1, true);
        pass(2000);
        long accepted = BURST - refused(submitBurst()).count();
        startLeader(2, true);
        pass(1000);
        assertEquals(JobAnswer.Result.DONE, submitHeavy(BURST - 1).result(), "not known yet");
        for (int number = 0; number < BURST; number++) {
            assertEquals(JobAnswer.Result.DONE, submitHeavy(100 + number).result());
        }
        pass(600);
        assertTrue(listener.startSeconds > 1);
        assertEquals(JobAnswer.Result.NOT_DONE, submitHeavy(200).result());
        for (int number = 0; number < accepted; number++) {
            assertEquals(JobAnswer.Result.DONE, submitHeavy(number).result(), "kept");
        }
    }

    @Test
    public void storeThatStallsInTheBurstMakesNoRefusalUntrue() {
        startLeader(1, true);
        pass(2000);
        List<Integer> accepted = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            assertEquals(JobAnswer.Result.DONE, submitHeavy(number).result());
            accepted.add(number);
        }
        store.setMode(FakeKeyedStore.Mode.DOWN);
        leader.handle(entry, ++call, new CancelJob(JobId.parse("heavy-50"), "heavy"));
        Map<Integer, Long> calls = new LinkedHashMap<>();
        for (int number = 3; number < BURST; number++) {
            submitHeavy(number);
            calls.put(number, call);
        }
        long duplicate = call + 1;
        submitHeavy(3);
        pass(CommitQueue.STALL_TIMEOUT_MILLIS + 300);
        store.setMode(FakeKeyedStore.Mode.UP);
        pass(1000);
        assertEquals(entry.findAnswer(calls.get(3)), entry.findAnswer(duplicate));
        Set<Long> retries = new LinkedHashSet<>();
        for (Map.Entry<Integer, Long> submission : calls.entrySet()) {
            JobAnswer answer = (JobAnswer) entry.findAnswer(submission.getValue());
            assertNotNull(answer);
            boolean done = answer.result() == JobAnswer.Result.DONE;
            assertEquals(done, isStored(JobId.parse("heavy-" + submission.getKey())));
            retries.add(answer.retryAfterSeconds());
        }
        assertTrue(retries.size() > 1, "refused by the backlog, and otherwise");
        assertEquals(JobAnswer.Result.DONE, submitHeavy(50).result(), "known as cancelled");
        accepted.forEach(
                number -> assertEquals(JobAnswer.Result.DONE, submitHeavy(number).result()));
        pass(10_000);
        everStarted.forEach(run -> assertTrue(isStored(run.task().job()), run.toString()));
    }

    /** Guards against showing the last backlog of a service whose workers are gone. */
    @Test
    public void backlogWithoutWorkersIsNotShown() {
        startLeader(1, true);
        pass(2000);
        assertEquals(0, listener.startSeconds);
        loop.advance(3000);
        assertTrue(Double.isNaN(listener.startSeconds));
        pass(2000);
        assertEquals(0, listener.startSeconds);
    }

    /** Guards against refusing a job that the leader's successor may have accepted. */
    @Test
    public void leaderThatMayHaveBeenReplacedRefusesNothing() {
        startLeader(1, true);
        pass(2000);
        submitBurst();
        assertEquals(JobAnswer.Result.NOT_DONE, submitHeavy(BURST).result());
        // The process is suspended for as long as it takes to be replaced.
        clock.advance(350);
        assertEquals(JobAnswer.Result.DONE, submitHeavy(BURST).result());
        assertEquals(JobAnswer.Result.NOT_DONE, submitHeavy(BURST + 1).result());
    }
}
