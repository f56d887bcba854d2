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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.FakeEventLoop;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.job.Configuration;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.QueueDefinition;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.Topic;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.JobQuery;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WorkerReport;

/**
 * Tests the jobs of a queue that the configuration no longer names.
 *
 * <p>Guards against accepted jobs that are not run, or fail at their first failed run, while their
 * queue is removed: its service and its number of attempts were in the configuration alone.
 */
public class TestRemovedQueues {

    private static final WorkerDescription WORKER = CellFixtures.worker("i-1", 8);
    private static final JobId JOB = JobId.parse("a");
    private static final QueueDefinition OTHER = queue("other", "s", 2);

    private final FakeClock clock = new FakeClock();
    private final FakeEventLoop loop = new FakeEventLoop(clock);
    private final FakeKeyedStore store = new FakeKeyedStore();
    private final FakeChannel entry = new FakeChannel();
    private final FakeChannel agent = new FakeChannel();
    private final AtomicReference<Configuration> configuration = new AtomicReference<>();
    private final List<RunId> running = new ArrayList<>();
    private final List<RunEnd> ends = new ArrayList<>();
    private JobCellLeader leader;
    private Fence fence = Fence.NONE;
    private long epoch;
    private long call;
    private long sequence;

    private static QueueDefinition queue(String name, String service, int attempts) {
        return new QueueDefinition(name, "h", "/" + name, service, 0, attempts, 250, 1.5, false);
    }

    private void publish(QueueDefinition... queues) {
        Configuration former = configuration.get();
        long version = former == null ? 1 : former.version() + 1;
        configuration.set(new Configuration(version, List.of(queues), List.of(), 1000));
        loop.advance(200);
    }

    private void startLeader() {
        if (leader != null) {
            leader.close();
        }
        leader = CellFixtures.startLeader(++epoch, store, clock, loop, configuration::get);
        for (int i = 0; i < 4; i++) {
            report();
        }
    }

    private void submit(JobDefinition job) {
        leader.handle(entry, ++call, new SubmitJob(job));
        loop.advance(50);
        assertTrue(
                entry.findAnswer(call) instanceof JobAnswer answer
                        && answer.result() == JobAnswer.Result.DONE);
    }

    private void submit(boolean longRunning) {
        submit(CellFixtures.of("a", CellFixtures.step(1, List.of(), 0, longRunning)));
    }

    private JobState state() {
        leader.handle(entry, ++call, new JobQuery(JOB, "q"));
        loop.advance(50);
        return ((JobAnswer) entry.findAnswer(call)).state();
    }

    /** Reports the runs that were ordered as running, except those that have ended. */
    private void report() {
        List<RunProgress> progress =
                running.stream().map(run -> new RunProgress(run, "", (int) sequence, 0)).toList();
        WorkerReport part =
                new WorkerReport(
                        WORKER,
                        true,
                        false,
                        true,
                        progress,
                        List.copyOf(ends),
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
                        List.of(part),
                        List.of(),
                        List.of()));
        loop.advance(100);
        if (agent.findAnswer(call) instanceof AgentGrant grant) {
            fence = Fence.of(grant.epoch(), grant.generation());
        }
    }

    private void runUntilStarted(int number) {
        RunId run = new RunId(new TaskName(JOB, 0, 0, 0), number);
        for (int i = 0; i < 30 && !agent.starts().contains(run); i++) {
            report();
        }
        assertTrue(agent.starts().contains(run), () -> "run " + number + " is started");
        running.add(run);
        report();
    }

    private void fail(int number) {
        RunId run = new RunId(new TaskName(JOB, 0, 0, 0), number);
        running.remove(run);
        ends.add(new RunEnd(ends.size() + 1, run, RunEndKind.FAILED, ""));
        report();
    }

    // -----------------------------------------------------------------------
    @Test
    public void longRunningTaskIsStartedAgainWhileItsQueueIsRemoved() {
        publish(queue("q", "s", 2), OTHER);
        startLeader();
        submit(true);
        runUntilStarted(1);
        publish(OTHER);
        fail(1);
        runUntilStarted(2);
    }

    @Test
    public void jobKeepsItsAttemptsWhileItsQueueIsRemoved() {
        publish(queue("q", "s", 2), OTHER);
        startLeader();
        submit(false);
        runUntilStarted(1);
        publish(OTHER);
        fail(1);
        assertEquals(JobState.RUNNING, state());
        runUntilStarted(2);
        fail(2);
        assertEquals(JobState.FAILED, state());
    }

    @Test
    public void newLeaderKnowsTheQueueThatWasRemoved() {
        publish(queue("q", "s", 2), OTHER);
        startLeader();
        submit(false);
        runUntilStarted(1);
        publish(OTHER);
        startLeader();
        fail(1);
        assertEquals(JobState.RUNNING, state());
        startLeader();
        runUntilStarted(2);
        fail(2);
        assertEquals(JobState.FAILED, state());
    }

    @Test
    public void waitingJobIsStartedWhileItsQueueIsRemoved() {
        publish(queue("q", "s", 2), OTHER);
        leader = CellFixtures.startLeader(++epoch, store, clock, loop, configuration::get);
        submit(false);
        publish(OTHER);
        startLeader();
        runUntilStarted(1);
    }

    @Test
    public void queueThatIsBackCountsWithItsNewValues() {
        publish(queue("q", "s", 3), OTHER);
        startLeader();
        submit(false);
        runUntilStarted(1);
        publish(OTHER);
        fail(1);
        publish(queue("q", "elsewhere", 1));
        assertEquals(JobState.FAILED, state());
    }

    @Test
    public void queueThatIsBackWithAnotherServiceIsFollowed() {
        publish(queue("q", "s", 3), OTHER);
        leader = CellFixtures.startLeader(++epoch, store, clock, loop, configuration::get);
        submit(false);
        publish(OTHER);
        publish(queue("q", "elsewhere", 3));
        startLeader();
        for (int i = 0; i < 10; i++) {
            report();
        }
        assertEquals(List.of(), agent.starts());
        publish(queue("q", "s", 3));
        runUntilStarted(1);
    }

    /** A job of an earlier version, which has not stored the definitions of queues. */
    @Test
    public void jobOfAnUnknownQueueWaitsWithoutFailing() {
        publish(queue("q", "s", 2), OTHER);
        startLeader();
        submit(false);
        runUntilStarted(1);
        publish(OTHER);
        store.getRecords(Topic.CELL).removeIf(record -> record.key().startsWith("q/"));
        startLeader();
        fail(1);
        assertEquals(JobState.RUNNING, state());
        publish(queue("q", "s", 2), OTHER);
        runUntilStarted(2);
        fail(2);
        assertEquals(JobState.FAILED, state());
    }

    @Test
    public void removedQueueIsForgottenOnceItHasNoJobs() {
        publish(queue("q", "s", 1), OTHER);
        startLeader();
        submit(false);
        runUntilStarted(1);
        publish(OTHER);
        fail(1);
        assertEquals(JobState.FAILED, state());
        assertTrue(isStored("q/q"));
        loop.advance(70_000);
        assertFalse(isStored("q/q"));
        assertTrue(isStored("q/other"));
    }

    private boolean isStored(String key) {
        return store.readNewest(Topic.CELL).join().records().stream()
                .anyMatch(record -> record.key().equals(key));
    }
}
