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

/** Tests which tasks a crash is counted under, and where suspected ones begin. */
public class TestCrashDetector {

    private static final long PROVEN_MILLIS = 1500;

    private final FakeClock clock = new FakeClock();
    private final CrashDetector desk = new CrashDetector(clock);
    private final JobRegistry board = new JobRegistry();
    private int lives;
    private int jobs;

    /** A life of the worker at one address. */
    private WorkerEntry life(boolean draining) {
        WorkerEntry worker = new WorkerEntry(WorkerIncarnation.parse("i-" + ++lives), 0);
        WorkerDescription told = CellFixtures.worker("i-1", 8);
        worker.receiveReport(
                new WorkerDescription(
                        worker.getIncarnation(),
                        told.service(),
                        told.address(),
                        told.capacity(),
                        told.hall(),
                        told.labels(),
                        draining,
                        0),
                null,
                true,
                clock.nowMillis());
        return worker;
    }

    private TaskEntry task() {
        return board.add(CellFixtures.job(Integer.toString(++jobs), 1)).listReadyTasks(0).get(0);
    }

    private void begin(TaskEntry task, WorkerEntry worker) {
        task.assign(worker.getIncarnation());
        worker.addTask(task);
    }

    private void prove(TaskEntry task) {
        task.getTrial().recordRunning(clock.nowMillis());
        clock.advance(PROVEN_MILLIS);
        task.getTrial().recordRunning(clock.nowMillis());
    }

    private static int crashes(TaskEntry task) {
        return task.getTrial().getCrashes().getStartupCrashes();
    }

    private static int perMille(TaskEntry task) {
        return task.getTrial().getCrashes().getSuspicionPerMille();
    }

    private void crash(WorkerEntry worker) {
        desk.recordCrash(worker);
        List.copyOf(worker.listTasks()).forEach(worker::removeTask);
    }

    @Test
    public void suspicionIsDividedAmongRecentlyStartedTasks() {
        WorkerEntry worker = life(false);
        TaskEntry one = task();
        TaskEntry other = task();
        TaskEntry proven = task();
        begin(proven, worker);
        prove(proven);
        begin(one, worker);
        begin(other, worker);
        crash(worker);
        assertEquals(perMille(one), perMille(other));
        assertEquals(1, crashes(one));
        assertEquals(0, perMille(proven));
        assertEquals(1, proven.getTrial().getCrashes().getLateCrashes());
    }

    @Test
    public void taskPresentAtEachCrashFailsPermanentlyAndClearsTheOthers() {
        TaskEntry cause = task();
        TaskEntry last = null;
        for (int i = 0; i < 4; i++) {
            WorkerEntry worker = life(false);
            begin(cause, worker);
            last = task();
            begin(last, worker);
            crash(worker);
        }
        assertTrue(cause.hasFailedPermanently(2));
        assertFalse(last.hasFailedPermanently(2));
        assertEquals(0, perMille(last));
        assertEquals(1, crashes(last));
    }

    @Test
    public void drainingWorkerHasNotCrashed() {
        WorkerEntry worker = life(true);
        TaskEntry task = task();
        begin(task, worker);
        crash(worker);
        assertEquals(0, crashes(task));
    }

    @Test
    public void crashAfterTheLeaseCountsOnceAnotherIncarnationAnswers() {
        WorkerEntry worker = life(false);
        TaskEntry task = task();
        begin(task, worker);
        desk.recordLeaseExpiry(worker);
        worker.removeTask(task);
        assertEquals(0, crashes(task));
        assertEquals(List.of(task), desk.recordContact(life(false)));
        assertEquals(1, crashes(task));
        assertEquals(List.of(), desk.recordContact(life(false)));
    }

    @Test
    public void unresponsiveWorkerThatAnswersAgainHasNotCrashed() {
        WorkerEntry worker = life(false);
        TaskEntry task = task();
        begin(task, worker);
        desk.recordLeaseExpiry(worker);
        assertEquals(List.of(), desk.recordContact(worker));
        assertEquals(List.of(), desk.recordEnd(worker.getIncarnation()));
        assertEquals(0, crashes(task));
    }

    @Test
    public void taskWithThreeCrashesWaitsWhileAnotherIsUnresolved() {
        TaskEntry task = task();
        WorkerEntry worker = life(false);
        begin(task, worker);
        task.getTrial().setCrashes(CrashHistory.of(3, 0, 100));
        desk.recordLeaseExpiry(worker);
        worker.removeTask(task);
        task.release();
        JobEntry job = board.find(task.getName().job());
        assertEquals(List.of(), job.listReadyTasks(0));
        clock.advance(60_001);
        desk.removeExpired();
        assertEquals(List.of(task), job.listReadyTasks(0));
    }

    @Test
    public void suspectedTaskIsIsolatedFromRecentlyStartedTasks() {
        Placement placement = new LeastRequestedPlacement(new InterferenceTable());
        WorkerEntry busy = life(false);
        TaskEntry innocent = task();
        begin(innocent, busy);
        TaskEntry suspect = task();
        suspect.getTrial().setCrashes(CrashHistory.of(2, 0, 500));
        assertEquals(null, placement.choose(suspect, List.of(busy)));
        assertEquals(null, placement.chooseAllowingInterference(suspect, List.of(busy)));
        assertEquals(busy, placement.chooseAllowingCrashRisk(suspect, List.of(busy)));
        prove(innocent);
        assertEquals(busy, placement.choose(suspect, List.of(busy)));
        begin(suspect, busy);
        assertEquals(null, placement.choose(task(), List.of(busy)));
    }

    @Test
    public void suspectedTasksAreSpreadOverWorkers() {
        Placement placement = new LeastRequestedPlacement(new InterferenceTable());
        WorkerEntry one = life(false);
        WorkerEntry other = life(false);
        TaskEntry first = task();
        first.getTrial().setCrashes(CrashHistory.of(1, 0, 50));
        begin(first, one);
        begin(task(), other);
        begin(task(), other);
        TaskEntry second = task();
        second.getTrial().setCrashes(CrashHistory.of(1, 0, 50));
        assertEquals(other, placement.choose(second, List.of(one, other)));
    }

    @Test
    public void newLeaderRestoresTheCrashHistory() {
        TaskEntry task = task();
        task.getTrial().setCrashes(CrashHistory.of(2, 1, 345));
        JobRegistry next = new JobRegistry();
        next.restore(board.takeChanges());
        TaskEntry read = next.findTask(task.getName());
        assertEquals(task.getTrial().getCrashes(), read.getTrial().getCrashes());
    }
}
