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

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerIncarnation;
import org.standlink.policy.InterferenceTable;

/**
 * Tests which tasks a worker crash counts against, and where suspected tasks are started.
 *
 * <p>Guards also against jobs that fail though none of their tasks crashes its worker: the crashes
 * of workers on which nothing ran were left out of the estimate of how often workers crash for
 * other reasons. A task that met with three crashes by chance was then found to cause them, beside
 * other crashes that it cannot have caused.
 */
public class TestCrashDetector {

    private static final long PROVEN_MILLIS = 1500;

    private final FakeClock clock = new FakeClock();
    private final CrashDetector detector = new CrashDetector(clock);
    private final JobRegistry jobs = new JobRegistry();
    private int workerCount;
    private int jobCount;

    /** Creates another worker at the same address. */
    private WorkerEntry newIncarnation(boolean draining) {
        WorkerEntry worker = new WorkerEntry(WorkerIncarnation.parse("i-" + ++workerCount), 0);
        WorkerDescription description = CellFixtures.worker("i-1", 8);
        worker.receiveReport(
                new WorkerDescription(
                        worker.getIncarnation(),
                        description.service(),
                        description.address(),
                        description.capacity(),
                        description.hall(),
                        description.labels(),
                        draining,
                        0),
                null,
                true,
                clock.nowMillis());
        return worker;
    }

    private TaskEntry newTask() {
        return jobs.add(CellFixtures.job(Integer.toString(++jobCount), 1)).listReadyTasks(0).get(0);
    }

    private void start(TaskEntry task, WorkerEntry worker) {
        task.assign(worker.getIncarnation());
        worker.addTask(task);
    }

    private void proveStart(TaskEntry task) {
        task.getTrial().recordRunning(clock.nowMillis());
        clock.advance(PROVEN_MILLIS);
        task.getTrial().recordRunning(clock.nowMillis());
    }

    private static int startupCrashes(TaskEntry task) {
        return task.getTrial().getCrashHistory().getStartupCrashes();
    }

    private static int suspicionPerMille(TaskEntry task) {
        return task.getTrial().getCrashHistory().getSuspicionPerMille();
    }

    private void crash(WorkerEntry worker) {
        detector.recordCrash(worker);
        List.copyOf(worker.listTasks()).forEach(worker::removeTask);
    }

    @Test
    public void suspicionIsDividedAmongRecentlyStartedTasks() {
        WorkerEntry worker = newIncarnation(false);
        TaskEntry one = newTask();
        TaskEntry other = newTask();
        TaskEntry proven = newTask();
        start(proven, worker);
        proveStart(proven);
        start(one, worker);
        start(other, worker);
        crash(worker);
        assertEquals(suspicionPerMille(one), suspicionPerMille(other));
        assertEquals(1, startupCrashes(one));
        assertEquals(0, suspicionPerMille(proven));
        assertEquals(1, proven.getTrial().getCrashHistory().getLateCrashes());
    }

    @Test
    public void taskPresentAtEachCrashFailsPermanentlyAndClearsTheOthers() {
        TaskEntry cause = newTask();
        TaskEntry last = null;
        for (int i = 0; i < 4; i++) {
            WorkerEntry worker = newIncarnation(false);
            start(cause, worker);
            last = newTask();
            start(last, worker);
            crash(worker);
        }
        assertTrue(cause.hasFailedPermanently(2));
        assertFalse(last.hasFailedPermanently(2));
        assertEquals(0, suspicionPerMille(last));
        assertEquals(1, startupCrashes(last));
    }

    /** Lets a task crash three workers, one after the other, on each of which it is alone. */
    private TaskEntry newTaskWithThreeCrashes() {
        TaskEntry task = newTask();
        for (int i = 0; i < 3; i++) {
            WorkerEntry worker = newIncarnation(false);
            start(task, worker);
            crash(worker);
        }
        return task;
    }

    @Test
    public void crashesOfWorkersWithoutRunsShowThatWorkersCrashOfThemselves() {
        crash(newIncarnation(false));
        crash(newIncarnation(false));
        TaskEntry task = newTaskWithThreeCrashes();
        assertEquals(3, startupCrashes(task));
        assertFalse(task.hasFailedPermanently(2));
    }

    @Test
    public void crashesOfWorkersWithoutRunsAreDisregardedLater() {
        crash(newIncarnation(false));
        crash(newIncarnation(false));
        clock.advance(30_000);
        assertTrue(newTaskWithThreeCrashes().hasFailedPermanently(2));
    }

    @Test
    public void workersThatLeftOrWereNeverReportedHaveNotCrashedWithoutRuns() {
        for (int i = 0; i < 2; i++) {
            crash(newIncarnation(true));
            crash(new WorkerEntry(WorkerIncarnation.parse("i-" + ++workerCount), 0));
        }
        assertTrue(newTaskWithThreeCrashes().hasFailedPermanently(2));
    }

    @Test
    public void crashesOfWorkersWithoutRunsDisplaceNoOthers() {
        WorkerEntry shared = newIncarnation(false);
        TaskEntry cause = newTask();
        TaskEntry other = newTask();
        start(cause, shared);
        start(other, shared);
        crash(shared);
        for (int i = 0; i < 50; i++) {
            crash(newIncarnation(false));
        }
        for (int i = 0; i < 4; i++) {
            WorkerEntry worker = newIncarnation(false);
            start(cause, worker);
            crash(worker);
        }
        assertTrue(cause.hasFailedPermanently(2));
        assertEquals(0, suspicionPerMille(other));
    }

    @Test
    public void drainingWorkerHasNotCrashed() {
        WorkerEntry worker = newIncarnation(true);
        TaskEntry task = newTask();
        start(task, worker);
        crash(worker);
        assertEquals(0, startupCrashes(task));
    }

    @Test
    public void crashAfterTheLeaseCountsOnceAnotherIncarnationAnswers() {
        WorkerEntry worker = newIncarnation(false);
        TaskEntry task = newTask();
        start(task, worker);
        detector.recordLeaseExpiry(worker, worker.listTasks());
        worker.removeTask(task);
        assertEquals(0, startupCrashes(task));
        assertEquals(List.of(task), detector.recordContact(newIncarnation(false)));
        assertEquals(1, startupCrashes(task));
        assertEquals(List.of(), detector.recordContact(newIncarnation(false)));
    }

    @Test
    public void unresponsiveWorkerThatAnswersAgainHasNotCrashed() {
        WorkerEntry worker = newIncarnation(false);
        TaskEntry task = newTask();
        start(task, worker);
        detector.recordLeaseExpiry(worker, worker.listTasks());
        assertEquals(List.of(), detector.recordContact(worker));
        assertEquals(List.of(), detector.recordEnd(worker.getIncarnation()));
        assertEquals(0, startupCrashes(task));
    }

    @Test
    public void taskWithThreeCrashesWaitsWhileAnotherIsUnresolved() {
        TaskEntry task = newTask();
        WorkerEntry worker = newIncarnation(false);
        start(task, worker);
        task.getTrial().setCrashHistory(CrashHistory.of(3, 0, 100));
        detector.recordLeaseExpiry(worker, worker.listTasks());
        worker.removeTask(task);
        task.release();
        JobEntry job = jobs.find(task.getName().job());
        assertEquals(List.of(), job.listReadyTasks(0));
        clock.advance(60_001);
        detector.removeExpired();
        assertEquals(List.of(task), job.listReadyTasks(0));
    }

    @Test
    public void suspectedTaskIsIsolatedFromRecentlyStartedTasks() {
        Placement placement = new LeastRequestedPlacement(new InterferenceTable());
        WorkerEntry busy = newIncarnation(false);
        TaskEntry unsuspected = newTask();
        start(unsuspected, busy);
        TaskEntry suspected = newTask();
        suspected.getTrial().setCrashHistory(CrashHistory.of(2, 0, 500));
        assertEquals(null, placement.choose(suspected, List.of(busy)));
        assertEquals(null, placement.chooseAllowingInterference(suspected, List.of(busy)));
        assertEquals(busy, placement.chooseAllowingCrashRisk(suspected, List.of(busy)));
        proveStart(unsuspected);
        assertEquals(busy, placement.choose(suspected, List.of(busy)));
        start(suspected, busy);
        assertEquals(null, placement.choose(newTask(), List.of(busy)));
    }

    @Test
    public void suspectedTasksAreSpreadOverWorkers() {
        Placement placement = new LeastRequestedPlacement(new InterferenceTable());
        WorkerEntry one = newIncarnation(false);
        WorkerEntry other = newIncarnation(false);
        TaskEntry first = newTask();
        first.getTrial().setCrashHistory(CrashHistory.of(1, 0, 50));
        start(first, one);
        start(newTask(), other);
        start(newTask(), other);
        TaskEntry second = newTask();
        second.getTrial().setCrashHistory(CrashHistory.of(1, 0, 50));
        assertEquals(other, placement.choose(second, List.of(one, other)));
    }

    @Test
    public void newLeaderRestoresTheCrashHistory() {
        TaskEntry task = newTask();
        task.getTrial().setCrashHistory(CrashHistory.of(2, 1, 345));
        JobRegistry restoredJobs = new JobRegistry();
        restoredJobs.restore(jobs.takeChanges());
        TaskEntry restored = restoredJobs.findTask(task.getName());
        assertEquals(task.getTrial().getCrashHistory(), restored.getTrial().getCrashHistory());
    }
}
