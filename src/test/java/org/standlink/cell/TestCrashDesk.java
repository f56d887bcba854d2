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
import org.standlink.job.WorkerLife;
import org.standlink.policy.HarmTable;

/** Tests which tasks a crash is counted under, and where suspected ones begin. */
public class TestCrashDesk {

    private static final long PROVEN_MILLIS = 1500;

    private final FakeClock clock = new FakeClock();
    private final CrashDesk desk = new CrashDesk(clock);
    private final JobBoard board = new JobBoard();
    private int lives;
    private int jobs;

    /** A life of the worker at one address. */
    private WorkerEntry life(boolean draining) {
        WorkerEntry worker = new WorkerEntry(WorkerLife.parse("i-" + ++lives), 0);
        WorkerDescription told = CellFixtures.worker("i-1", 8);
        worker.heard(
                new WorkerDescription(
                        worker.getLife(),
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
        return board.add(CellFixtures.job(Integer.toString(++jobs), 1)).readyTasks(0).get(0);
    }

    private void begin(TaskEntry task, WorkerEntry worker) {
        task.assign(worker.getLife());
        worker.add(task);
    }

    private void prove(TaskEntry task) {
        task.getTrial().seenAtWork(clock.nowMillis());
        clock.advance(PROVEN_MILLIS);
        task.getTrial().seenAtWork(clock.nowMillis());
    }

    private static int crashes(TaskEntry task) {
        return task.getTrial().getCrashes().getCrashes();
    }

    private static int perMille(TaskEntry task) {
        return task.getTrial().getCrashes().getPerMille();
    }

    private void crash(WorkerEntry worker) {
        desk.crashed(worker);
        List.copyOf(worker.listTasks()).forEach(worker::remove);
    }

    @Test
    public void theSuspicionIsDividedAmongAllThatHadJustBegun() {
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
    public void theTaskThatWasThereEachTimeIsGivenUpAndClearsTheOthers() {
        TaskEntry cause = task();
        TaskEntry last = null;
        for (int i = 0; i < 4; i++) {
            WorkerEntry worker = life(false);
            begin(cause, worker);
            last = task();
            begin(last, worker);
            crash(worker);
        }
        assertTrue(cause.isSpent(2));
        assertFalse(last.isSpent(2));
        assertEquals(0, perMille(last));
        assertEquals(1, crashes(last));
    }

    @Test
    public void aWorkerThatLeavesHasNotCrashed() {
        WorkerEntry worker = life(true);
        TaskEntry task = task();
        begin(task, worker);
        crash(worker);
        assertEquals(0, crashes(task));
    }

    @Test
    public void aCrashToldAfterTheLeaseCountsOnceAnotherLifeAnswers() {
        WorkerEntry worker = life(false);
        TaskEntry task = task();
        begin(task, worker);
        desk.silent(worker);
        worker.remove(task);
        assertEquals(0, crashes(task));
        assertEquals(List.of(task), desk.answers(life(false)));
        assertEquals(1, crashes(task));
        assertEquals(List.of(), desk.answers(life(false)));
    }

    @Test
    public void aSilenceThatEndsIsNoCrash() {
        WorkerEntry worker = life(false);
        TaskEntry task = task();
        begin(task, worker);
        desk.silent(worker);
        assertEquals(List.of(), desk.answers(worker));
        assertEquals(List.of(), desk.over(worker.getLife()));
        assertEquals(0, crashes(task));
    }

    @Test
    public void withThreeCrashesATaskWaitsUntilTheNextOneIsCertain() {
        TaskEntry task = task();
        WorkerEntry worker = life(false);
        begin(task, worker);
        task.getTrial().setCrashes(CrashHistory.of(3, 0, 100));
        desk.silent(worker);
        worker.remove(task);
        task.release();
        JobEntry job = board.find(task.getName().job());
        assertEquals(List.of(), job.readyTasks(0));
        clock.advance(60_001);
        desk.forgetOld();
        assertEquals(List.of(task), job.readyTasks(0));
    }

    @Test
    public void aSuspectedTaskBeginsApartFromWhatHasJustBegun() {
        Placement placement = new LeastAskedPlacement(new HarmTable());
        WorkerEntry busy = life(false);
        TaskEntry innocent = task();
        begin(innocent, busy);
        TaskEntry suspect = task();
        suspect.getTrial().setCrashes(CrashHistory.of(2, 0, 500));
        assertEquals(null, placement.choose(suspect, List.of(busy)));
        assertEquals(null, placement.chooseAnyway(suspect, List.of(busy)));
        assertEquals(busy, placement.chooseInNeed(suspect, List.of(busy)));
        prove(innocent);
        assertEquals(busy, placement.choose(suspect, List.of(busy)));
        begin(suspect, busy);
        assertEquals(null, placement.choose(task(), List.of(busy)));
    }

    @Test
    public void suspectedTasksSpread() {
        Placement placement = new LeastAskedPlacement(new HarmTable());
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
    public void theCountOutlivesALeader() {
        TaskEntry task = task();
        task.getTrial().setCrashes(CrashHistory.of(2, 1, 345));
        JobBoard next = new JobBoard();
        next.restore(board.takeChanges());
        TaskEntry read = next.findTask(task.getName());
        assertEquals(task.getTrial().getCrashes(), read.getTrial().getCrashes());
    }
}
