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

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.Epoch;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.ordering.OrderMetrics;
import org.standlink.policy.InterferenceTable;
import org.standlink.wire.AgentReport;

/** Tests which worker is assigned to a task, and which tasks have to wait. */
public class TestScheduler {

    private static final long NOW = 1_000_000;
    private static final TaskName FAILED = TaskName.parse("f.0.0.0");

    private EvacuatedHalls evacuated = EvacuatedHalls.NONE;
    private final JobRegistry jobs = new JobRegistry();
    private final WorkerRegistry workers = new WorkerRegistry(() -> evacuated);
    private final InterferenceTable interference = new InterferenceTable();
    private final Scheduler scheduler =
            new Scheduler(
                    jobs,
                    workers,
                    new LeastRequestedPlacement(interference),
                    ContentionOptions.NONE.newOrders(OrderMetrics.NONE));

    private WorkerEntry worker(String id, int cores) {
        WorkerEntry worker =
                workers.getOrAdd(CellFixtures.worker(id, cores).incarnation(), NOW + 6000);
        worker.receiveReport(CellFixtures.worker(id, cores), null, true, NOW);
        worker.setSyncedGeneration(LeaseGeneration.of(1));
        return worker;
    }

    private JobEntry add(String id, StepDefinition... steps) {
        JobEntry job = jobs.add(CellFixtures.of(id, steps));
        job.markAccepted(NOW, 0);
        return job;
    }

    private List<TaskEntry> schedule(long now) {
        workers.getWorkers()
                .forEach(one -> one.receiveReport(one.getDescription(), null, true, now));
        return scheduler.schedule(CellFixtures.CONFIGURATION, now, 0);
    }

    @Test
    public void assignmentsNeverExceedTheCapacityOfAWorker() {
        worker("i-1", 4);
        worker("i-2", 4);
        add("a", CellFixtures.step(20, List.of(), 0, false));
        assertEquals(8, schedule(NOW).size());
        workers.getWorkers().forEach(one -> assertEquals(0, one.getFreeCapacity().milliCores()));
    }

    @Test
    public void taskToIsolateDelaysNoOtherAndWaitsForALimitedTime() {
        worker("i-1", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        schedule(NOW);
        JobEntry job = add("b", CellFixtures.step(3, List.of(), 0, true));
        TaskEntry suspected = job.listReadyTasks(0).get(0);
        suspected.getTrial().setCrashHistory(CrashHistory.of(1, 0, 400));
        assertEquals(2, schedule(NOW + 10).size());
        assertEquals(List.of(), schedule(NOW + 500));
        assertEquals(List.of(suspected), schedule(NOW + 1010));
    }

    @Test
    public void taskWithSeveralCrashesWaitsLongerForIsolation() {
        worker("i-1", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        schedule(NOW);
        JobEntry job = add("b", CellFixtures.step(2, List.of(), 0, true));
        TaskEntry suspected = job.listReadyTasks(0).get(0);
        suspected.getTrial().setCrashHistory(CrashHistory.of(2, 0, 400));
        assertEquals(1, schedule(NOW + 10).size());
        assertEquals(List.of(), schedule(NOW + 1500));
        assertEquals(List.of(suspected), schedule(NOW + 2510));
    }

    @Test
    public void nothingIsAssignedInAHallWhileItIsEvacuated() {
        WorkerEntry evacuatedWorker = worker("i-1", 8);
        WorkerEntry availableWorker = worker("i-2", 2);
        availableWorker.receiveReport(
                inHall(availableWorker.getDescription(), "other"), null, true, NOW);
        evacuated = EvacuatedHalls.of(List.of(evacuatedWorker.getDescription().hall()));
        add("a", CellFixtures.step(4, List.of(), 0, false));
        assertEquals(2, schedule(NOW).size());
        assertEquals(8000, evacuatedWorker.getFreeCapacity().milliCores());
        evacuated = EvacuatedHalls.NONE;
        assertEquals(2, schedule(NOW + 100).size());
    }

    @Test
    public void nothingIsAssignedWhileAllHallsAreEvacuatedHoweverLongItWaits() {
        WorkerEntry only = worker("i-1", 8);
        evacuated = EvacuatedHalls.of(List.of(only.getDescription().hall()));
        add("a", CellFixtures.step(1, List.of(), 0, false));
        for (long elapsed = 0; elapsed < 20_000; elapsed += 1000) {
            only.extendLease(NOW + elapsed + 6000);
            assertEquals(List.of(), schedule(NOW + elapsed));
        }
    }

    private static WorkerDescription inHall(WorkerDescription description, String hall) {
        return new WorkerDescription(
                description.incarnation(),
                description.service(),
                description.address() + "0",
                description.capacity(),
                HallId.parse(hall),
                description.labels(),
                false,
                0);
    }

    @Test
    public void stepIsSpreadByItsLimitPerWorker() {
        worker("i-1", 8);
        worker("i-2", 8);
        add("a", CellFixtures.step(9, List.of(), 3, false));
        assertEquals(6, schedule(NOW).size());
    }

    @Test
    public void workerWithAnExpiredLeaseGetsNothingUntilItsRenewal() {
        WorkerEntry worker = worker("i-1", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        assertTrue(schedule(NOW + 6000).isEmpty());
        worker.extendLease(NOW + 12_000);
        assertEquals(1, schedule(NOW + 6000).size());
    }

    @Test
    public void avoidedWorkerGetsNothing() {
        WorkerEntry avoided = worker("i-1", 8);
        avoided.getHealth().avoidUntil(NOW + 100);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        assertTrue(schedule(NOW).isEmpty());
        assertEquals(1, schedule(NOW + 100).size());
    }

    @Test
    public void bestEffortTaskAvoidsWorkersWithInterference() {
        WorkerEntry first = worker("i-1", 8);
        WorkerEntry other = worker("i-2", 8);
        add("s", CellFixtures.serving("s", 6));
        schedule(NOW);
        WorkerEntry serving = first.listTasks().isEmpty() ? other : first;
        interference.putAll(List.of(new InterferenceTable.Entry("s", "bad", 0.9)));
        interference.putAll(List.of(new InterferenceTable.Entry("s", "good", 0.0)));
        add("b", CellFixtures.bestEffort("bad", 2));
        add("g", CellFixtures.bestEffort("good", 2));
        List<TaskEntry> placed = schedule(NOW);
        assertEquals(2, placed.size());
        assertTrue(!placed.get(0).getWorker().equals(serving.getIncarnation()));
        assertEquals(serving.getIncarnation(), placed.get(1).getWorker());
    }

    @Test
    public void interferingTaskWaitsForAWorkerWithoutInterference() {
        worker("i-1", 8);
        add("s", CellFixtures.serving("s", 6));
        schedule(NOW);
        worker("i-2", 1);
        interference.putAll(List.of(new InterferenceTable.Entry("s", "bad", 0.9)));
        add("one", CellFixtures.bestEffort("bad", 1));
        add("two", CellFixtures.bestEffort("bad", 1));
        assertEquals(1, schedule(NOW).size());
    }

    @Test
    public void failedTaskIsAssignedToAnotherWorker() {
        WorkerEntry one = worker("i-1", 8);
        WorkerEntry two = worker("i-2", 4);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        TaskEntry task = schedule(NOW).get(0);
        assertEquals(one.getIncarnation(), task.getWorker());
        task.recordEnd(one.getIncarnation(), new RunEnd(1, task.getRun(), RunEndKind.FAILED, ""));
        workers.removeTask(task, one.getIncarnation());
        assertEquals(two.getIncarnation(), schedule(NOW).get(0).getWorker());
    }

    @Test
    public void jobThatCanMeetItsTargetGoesBeforeOneThatCannot() {
        worker("i-1", 1);
        JobEntry overdue = add("overdue", CellFixtures.step(1, List.of(), 0, false));
        JobEntry recent = add("recent", CellFixtures.step(1, List.of(), 0, false));
        // The target time is 250 ms plus 1.5 times 500 ms of work.
        overdue.markAccepted(NOW - 2000, 0);
        assertEquals(recent.getId(), schedule(NOW).get(0).getName().job());
    }

    @Test
    public void startedJobIsFinishedBeforeAnotherIsStarted() {
        WorkerEntry one = worker("i-1", 1);
        add("first", CellFixtures.step(1, List.of(), 0, false));
        JobEntry started =
                add(
                        "started",
                        CellFixtures.step(1, List.of(), 0, false),
                        CellFixtures.step(1, List.of(0), 0, false));
        TaskEntry task = started.listReadyTasks(0).get(0);
        task.assign(one.getIncarnation());
        task.recordEnd(one.getIncarnation(), new RunEnd(1, task.getRun(), RunEndKind.DONE, ""));
        assertEquals(started.getId(), schedule(NOW).get(0).getName().job());
    }

    @Test
    public void jobWithTooLittleSlackIsNotStarted() {
        worker("i-1", 1);
        JobEntry tight = add("tight", CellFixtures.step(1, List.of(), 0, false));
        JobEntry recent = add("recent", CellFixtures.step(1, List.of(), 0, false));
        // The target time is 250 ms plus 1.5 times 500 ms of work; 490 ms of it are left.
        tight.markAccepted(NOW - 510, 0);
        assertEquals(recent.getId(), schedule(NOW).get(0).getName().job());
    }

    @Test
    public void newLeaderRestoresTheAgeOfAJob() {
        JobEntry job = add("a", CellFixtures.step(1, List.of(), 0, false));
        job.markAccepted(NOW, 50_000);
        JobRegistry other = new JobRegistry();
        other.restore(jobs.takeChanges());
        JobEntry restored = other.find(job.getId());
        restored.restoreAcceptanceTime(7000, 52_500);
        assertEquals(4500, restored.getAcceptedAt());
        restored.restoreAcceptanceTime(7000, 40_000);
        assertEquals(
                7000,
                restored.getAcceptedAt(),
                "a clock that was set back does not make a job younger");
    }

    @Test
    public void failedTaskGoesToAHealthyWorker() {
        WorkerEntry failing = worker("i-1", 64);
        WorkerEntry healthy = worker("i-2", 4);
        JobEntry job = add("a", CellFixtures.step(1, List.of(), 0, false));
        workers.getOutcomes().recordFailure(failing, FAILED, 0, NOW);
        TaskEntry task = job.listReadyTasks(0).get(0);
        WorkerIncarnation gone = WorkerIncarnation.parse("i-3@1000");
        task.assign(gone);
        task.recordEnd(gone, new RunEnd(1, task.getRun(), RunEndKind.FAILED, ""));
        assertEquals(healthy.getIncarnation(), schedule(NOW).get(0).getWorker());
    }

    @Test
    public void interferingRunsAreSpreadAndLimitedPerWorker() {
        WorkerEntry one = worker("i-1", 32);
        WorkerEntry two = worker("i-2", 32);
        add("s1", CellFixtures.serving("s", 30));
        add("s2", CellFixtures.serving("s", 30));
        schedule(NOW);
        interference.putAll(List.of(new InterferenceTable.Entry("s", "b", 0.5)));
        for (int i = 0; i < 6; i++) {
            add("b" + i, CellFixtures.bestEffort("b", 4));
        }
        assertEquals(4, schedule(NOW).size());
        assertEquals(3, one.listTasks().size());
        assertEquals(3, two.listTasks().size());
    }

    @Test
    public void jobWithoutRunsIsNotDelayedForLong() {
        WorkerEntry one = worker("i-1", 32);
        add("s", CellFixtures.serving("s", 30));
        schedule(NOW);
        one.getMetrics().setMaxTailRatio(0.85);
        JobEntry job = add("b", CellFixtures.bestEffort("b", 4));
        assertTrue(schedule(NOW).isEmpty());
        assertTrue(schedule(NOW + 900).isEmpty());
        assertEquals(job.getId(), schedule(NOW + 1000).get(0).getName().job());
    }

    /** Reports the runs whose start calls are in doubt. */
    private void reportInDoubt(long now, RunId... runs) {
        workers.getInDoubtRuns()
                .update(
                        new AgentReport(
                                "node",
                                "a:1",
                                Incarnation.of(1),
                                now,
                                Epoch.of(1),
                                LeaseGeneration.of(1),
                                false,
                                List.of(),
                                List.of(),
                                List.of(runs)),
                        now);
    }

    /**
     * Guards against two concurrent runs of a task: a run was moved or lost and the next one
     * started elsewhere, while the next incarnation of the first worker still carried out the first
     * start.
     */
    @Test
    public void aTaskWaitsWhileAnEarlierStartOfItIsInDoubt() {
        WorkerEntry former = worker("i-1", 8);
        JobEntry job = add("a", CellFixtures.step(2, List.of(), 0, false));
        List<TaskEntry> tasks = schedule(NOW);
        TaskEntry task = tasks.get(0);
        WorkerEntry other = worker("i-2", 8);
        reportInDoubt(NOW, task.getRun());
        task.release();
        former.removeTask(task);
        assertEquals(List.of(), schedule(NOW + 100));
        assertEquals(List.of(task), job.listReadyTasks(0));
        reportInDoubt(NOW + 200);
        assertEquals(List.of(task), schedule(NOW + 200));
        assertEquals(other.getIncarnation(), task.getWorker());
    }

    @Test
    public void aTaskWaitsNoLongerThanACallMayTakeIfNoAgentReports() {
        worker("i-1", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        TaskEntry task = schedule(NOW).get(0);
        reportInDoubt(NOW, task.getRun());
        task.release();
        long end = NOW + CellTimes.START_IN_DOUBT_MILLIS;
        workers.getWorkers().forEach(worker -> worker.extendLease(end + 1000));
        workers.getInDoubtRuns().removeExpired(end - 1, run -> false);
        assertEquals(List.of(), schedule(end - 1));
        workers.getInDoubtRuns().removeExpired(end, run -> false);
        assertEquals(List.of(task), schedule(end));
    }

    @Test
    public void aTaskThatWaitsForItsStartDelaysNoOther() {
        worker("i-1", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        TaskEntry task = schedule(NOW).get(0);
        reportInDoubt(NOW, task.getRun());
        task.release();
        add("b", CellFixtures.step(3, List.of(), 0, false));
        assertEquals(3, schedule(NOW + 100).size());
    }

    /**
     * The worker on which a run has ended refuses to start it again, so the next run may follow.
     */
    @Test
    public void aTaskContinuesOnTheWorkerThatRefusesTheStartInDoubt() {
        worker("i-1", 8);
        worker("i-2", 8);
        add("a", CellFixtures.step(1, List.of(), 0, false));
        TaskEntry task = schedule(NOW).get(0);
        WorkerEntry barring = workers.find(task.getWorker());
        reportInDoubt(NOW, task.getRun());
        RunEnd failed = new RunEnd(1, task.getRun(), RunEndKind.FAILED, "");
        task.recordEnd(barring.getIncarnation(), failed);
        barring.removeTask(task);
        assertEquals(List.of(task), schedule(NOW + 100));
        assertEquals(barring.getIncarnation(), task.getWorker());
    }
}
