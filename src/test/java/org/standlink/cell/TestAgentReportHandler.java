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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobDefinition;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.RunProgress;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.Topic;
import org.standlink.wire.ImageShare;
import org.standlink.wire.WorkerReport;

/** Tests how reports of agents change the state, and which ends are acknowledged and when. */
public class TestAgentReportHandler extends AgentReportTestCase {

    @Test
    public void endIsAcknowledgedOnlyOnceItsRecordIsPersisted() {
        report(false, List.of(), done(1));
        commits.startAppend();
        report(false, List.of(), done(1), done(2));
        store.setMode(FakeKeyedStore.Mode.DOWN);
        loop.advance(0);
        WorkerEntry worker = workers.find(WORKER.incarnation());
        assertEquals(2, worker.getEnds().getLastHandled());
        assertEquals(1, worker.getEnds().getLastRecorded());
        store.setMode(FakeKeyedStore.Mode.UP);
        loop.advance(500);
        assertEquals(2, worker.getEnds().getLastRecorded());
    }

    @Test
    public void allRunsOfALapsedWorkerAreReleased() {
        report(true, List.of());
        assertNull(tasks.get(0).getWorker());
        assertNull(tasks.get(1).getWorker());
        assertTrue(workers.find(WORKER.incarnation()).listTasks().isEmpty());
    }

    /**
     * Guards against overloading a worker that does not enforce its capacity: its whole capacity
     * was assigned beside a run that was not expected there.
     */
    @Test
    public void unexpectedRunOccupiesCapacityUntilItEnds() {
        TaskEntry unexpected = jobs.add(CellFixtures.job("b", 1)).listReadyTasks(0).get(0);
        unexpected.assign(WorkerIncarnation.parse("i-9@1000"));
        report(false, progress());
        WorkerEntry worker = workers.find(WORKER.incarnation());
        Resources free = worker.getFreeCapacity();
        List<RunProgress> running = new ArrayList<>(progress());
        running.add(new RunProgress(unexpected.getRun(), "", 10, 0));
        report(false, running);
        assertEquals(free.minus(unexpected.getStep().requiredCapacity()), worker.getFreeCapacity());
        report(false, progress());
        assertEquals(free, worker.getFreeCapacity());
    }

    @Test
    public void runOfAnUnknownJobOccupiesAllCapacity() {
        report(false, progress());
        WorkerEntry worker = workers.find(WORKER.incarnation());
        List<RunProgress> running = new ArrayList<>(progress());
        running.add(new RunProgress(new RunId(TaskName.parse("z.0.0.0"), 1), "", 10, 0));
        report(false, running);
        assertTrue(worker.getFreeCapacity().milliCores() <= 0);
    }

    @Test
    public void stallIsDetectedOnce() {
        RunProgress stalled = new RunProgress(tasks.get(0).getRun(), "", 30, 0);
        for (int i = 0; i < 40; i++) {
            RunProgress progressing = new RunProgress(tasks.get(1).getRun(), "", i, 0);
            report(false, List.of(stalled, progressing));
            clock.advance(100);
        }
        assertTrue(tasks.get(0).detectStall(clock.nowMillis(), 3000));
        assertEquals(false, tasks.get(0).detectStall(clock.nowMillis(), 3000));
        assertEquals(false, tasks.get(1).detectStall(clock.nowMillis(), 3000));
    }

    @Test
    public void newIncarnationAtTheSameAddressEndsTheFormerOneForANewLeader() {
        report(false, List.of());
        commits.startAppend();
        loop.advance(0);
        WorkerRegistry restored = new WorkerRegistry(() -> EvacuatedHalls.NONE);
        restored.restore(store.getRecords(Topic.CELL), clock.nowMillis() + 9000);
        tasks.forEach(task -> restored.addTask(task, 0));
        AgentRegistry nextAgents = new AgentRegistry(Epoch.of(1), restored);
        AgentReportHandler nextHandler =
                new AgentReportHandler(
                        jobs,
                        restored,
                        nextAgents,
                        orders,
                        job -> 2,
                        clock,
                        new InterferenceLearner(jobs, clock, new InterferenceTable()),
                        new MoveCostEstimator());
        WorkerDescription other =
                new WorkerDescription(
                        WorkerIncarnation.parse("i-2@1000"),
                        "s",
                        WORKER.address(),
                        WORKER.capacity(),
                        HallId.parse("h"),
                        List.of(),
                        false,
                        0);
        WorkerReport workerReport =
                new WorkerReport(
                        other, true, false, true, List.of(), List.of(), List.of(), List.of(),
                        List.of(), true, List.of());
        deliver(nextHandler, nextAgents, 2, List.of(workerReport), List.of());
        assertNull(tasks.get(0).getWorker());
        assertNull(restored.find(WORKER.incarnation()));
    }

    @Test
    public void runsOfAnEndedIncarnationAreReleased() {
        WorkerIncarnation incarnation = WORKER.incarnation();
        deliver(handler, agents, 1, List.of(), List.of(incarnation));
        assertNull(tasks.get(0).getWorker());
        assertNull(workers.find(incarnation));
    }

    private List<RunProgress> progress() {
        return tasks.stream().map(task -> new RunProgress(task.getRun(), "", 10, 0)).toList();
    }

    private boolean isFirstRunning() {
        return tasks.get(0).isRunning();
    }

    private void reportCapacity(int cores, List<RunProgress> running) {
        WorkerDescription smaller =
                new WorkerDescription(
                        WORKER.incarnation(),
                        WORKER.service(),
                        WORKER.address(),
                        new Resources(cores * 1000L, 10_000, 0),
                        WORKER.hall(),
                        WORKER.labels(),
                        false,
                        0);
        WorkerReport workerReport =
                new WorkerReport(
                        smaller, true, false, true, running, List.of(), List.of(), List.of(),
                        List.of(), true, List.of());
        deliver(handler, agents, 1, List.of(workerReport), List.of());
    }

    @Test
    public void reducedCapacityStopsRunsThatHaveNotStarted() {
        RunProgress first = new RunProgress(tasks.get(0).getRun(), "", 10, 0);
        reportCapacity(1, List.of(first));
        assertEquals(false, tasks.get(0).isStopping());
        assertEquals(true, tasks.get(1).isStopping());
    }

    @Test
    public void ordersWithinTheCapacityAreNotWithdrawn() {
        reportCapacity(2, List.of());
        assertEquals(false, tasks.get(0).isStopping());
        assertEquals(false, tasks.get(1).isStopping());
        reportCapacity(1, List.of());
        assertEquals(true, tasks.get(0).isStopping());
        assertEquals(false, tasks.get(1).isStopping());
    }

    @Test
    public void stalledRunIsStopped() {
        report(false, progress());
        clock.advance(2000);
        report(false, progress());
        handler.stopStalledRuns();
        assertEquals(false, isFirstRunning());
    }

    @Test
    public void runOfAnUnresponsiveAgentIsNotStalled() {
        report(false, progress());
        clock.advance(5000);
        handler.stopStalledRuns();
        assertEquals(true, isFirstRunning());
    }

    @Test
    public void throttledRunIsNotStalled() {
        report(false, progress());
        clock.advance(5000);
        report(false, progress());
        String image = tasks.get(0).getStep().image();
        workers.find(WORKER.incarnation())
                .getMetrics()
                .updateThrottled(List.of(new ImageShare(image, 0)), clock.nowMillis());
        handler.stopStalledRuns();
        assertEquals(true, isFirstRunning());
    }

    /** Guards against a run that ends again, or is listed late, and then runs a second time. */
    @Test
    public void taskOfAFinishedRepetitionIsAnsweredLikeAFinishedTask() {
        JobDefinition once = CellFixtures.job("b", 1);
        JobEntry job =
                jobs.add(new JobDefinition(once.id(), "q", "text", once.steps(), 0, 60_000, 9));
        TaskEntry task = job.listReadyTasks(0).get(0);
        task.assign(WORKER.incarnation());
        workers.addTask(task, clock.nowMillis() + 6000);
        RunEnd end = new RunEnd(1, task.getRun(), RunEndKind.DONE, "");
        report(false, List.of(new RunProgress(task.getRun(), "", 5, 0)), end);
        assertNull(jobs.findTask(task.getName()));
        WorkerEntry worker = workers.find(WORKER.incarnation());
        RunProgress late = new RunProgress(new RunId(task.getName(), 1), "", 7, 0);
        report(false, List.of(late), new RunEnd(2, task.getRun(), RunEndKind.FAILED, ""));
        loop.advance(10);
        assertEquals(2, worker.getEnds().getLastHandled());
        assertEquals(
                5000,
                worker.getFreeCapacity().milliCores(),
                "two assigned runs and the listed one");
        assertEquals(List.of(), job.listReadyTasks(0));
    }
}
