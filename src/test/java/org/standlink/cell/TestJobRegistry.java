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
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobState;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.WorkerIncarnation;
import org.standlink.store.KeyedRecord;

/** Tests the state of jobs, and that a new leader reads what an old one kept. */
public class TestJobRegistry {

    private static final WorkerIncarnation ONE = WorkerIncarnation.parse("one@1000");

    private final JobRegistry board = new JobRegistry();

    private static void run(TaskEntry task, RunEndKind kind) {
        task.assign(ONE);
        task.recordEnd(ONE, new RunEnd(1, task.getRun(), kind, ""));
    }

    @Test
    public void aStepWaitsForAllTasksOfTheStepsBeforeIt() {
        JobEntry job = board.add(CellFixtures.job("a", 2, 1));
        assertEquals(2, job.listReadyTasks(0).size());
        run(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        assertEquals(1, job.listReadyTasks(0).size());
        run(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        assertEquals(1, job.listReadyTasks(0).get(0).getName().step());
        run(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        job.updateState(2);
        assertEquals(JobState.COMPLETED, job.getState());
    }

    @Test
    public void aTaskMayFailAsOftenAsItsQueueAllows() {
        JobEntry job = board.add(CellFixtures.job("a", 1));
        run(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
        job.updateState(2);
        assertEquals(JobState.RUNNING, job.getState());
        run(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
        job.updateState(2);
        assertEquals(JobState.FAILED, job.getState());
        assertTrue(job.listReadyTasks(0).isEmpty());
    }

    @Test
    public void aPerpetualTaskIsStartedAgainHoweverItEnds() {
        JobEntry job = board.add(CellFixtures.of("a", CellFixtures.step(1, List.of(), 0, true)));
        for (int i = 0; i < 9; i++) {
            run(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
            job.updateState(2);
        }
        assertEquals(JobState.RUNNING, job.getState());
        assertEquals(1, job.listReadyTasks(0).size());
    }

    @Test
    public void aRepeatedJobIsDueAtItsTimes() {
        JobDefinition once = CellFixtures.job("a", 1);
        JobEntry job =
                board.add(new JobDefinition(once.id(), "q", "text", once.steps(), 10_000, 3000, 2));
        assertTrue(job.listReadyTasks(9_999).isEmpty());
        assertEquals(1, job.listReadyTasks(10_000).size());
        assertEquals(1, job.listReadyTasks(12_999).size());
        assertEquals(2, job.listReadyTasks(13_000).size());
    }

    @Test
    public void newLeaderRestoresPersistedJobs() {
        JobEntry job = board.add(CellFixtures.job("a", 2));
        board.add(CellFixtures.job("b", 1));
        List<KeyedRecord> kept = new ArrayList<>(board.takeChanges());
        job.listReadyTasks(0).get(0).assign(ONE);
        job.updateState(2);
        board.markChanged(job);
        kept.addAll(board.takeChanges());
        JobRegistry other = new JobRegistry();
        other.restore(kept);
        JobEntry restored = other.find(JobId.parse("a"));
        assertEquals(JobState.RUNNING, restored.getState());
        assertEquals(1, restored.listReadyTasks(0).size());
        assertEquals(
                ONE, other.findTask(restored.allTasks().toList().get(0).getName()).getWorker());
        assertEquals(3, other.add(CellFixtures.job("c", 1)).getOrder());
    }

    @Test
    public void removedJobIsUnknownToANewLeader() {
        JobEntry job = board.add(CellFixtures.job("a", 1));
        List<KeyedRecord> kept = new ArrayList<>(board.takeChanges());
        board.remove(job);
        kept.addAll(board.takeChanges());
        JobRegistry other = new JobRegistry();
        other.restore(kept);
        assertNull(other.find(JobId.parse("a")));
    }

    @Test
    public void onlyTheStateOfAFinishedJobIsPersisted() {
        JobEntry job = board.add(CellFixtures.job("a", 1));
        List<KeyedRecord> kept = new ArrayList<>(board.takeChanges());
        TaskEntry task = job.listReadyTasks(0).get(0);
        task.assign(ONE);
        job.cancel();
        board.markChanged(job);
        List<KeyedRecord> whileItRuns = board.takeChanges();
        assertEquals(1, whileItRuns.size());
        kept.addAll(whileItRuns);
        task.release();
        board.markChanged(job);
        kept.addAll(board.takeChanges());
        JobRegistry other = new JobRegistry();
        other.restore(kept);
        JobEntry restored = other.find(JobId.parse("a"));
        assertEquals(JobState.CANCELLED, restored.getState());
        assertEquals(JobState.CANCELLED, restored.getPersistedState());
        assertEquals("q", restored.getDefinition().queue());
        assertEquals(0, restored.allTasks().count());
        assertEquals(2, other.add(CellFixtures.job("b", 1)).getOrder());
    }
}
