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
import org.standlink.job.RunId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.store.KeyedRecord;

/** Tests the state of jobs, and that a new leader restores what the previous one persisted. */
public class TestJobRegistry {

    private static final WorkerIncarnation WORKER = WorkerIncarnation.parse("one@1000");

    private final JobRegistry jobs = new JobRegistry();

    private static void runToEnd(TaskEntry task, RunEndKind kind) {
        task.assign(WORKER);
        task.recordEnd(WORKER, new RunEnd(1, task.getRun(), kind, ""));
    }

    @Test
    public void aStepWaitsForAllTasksOfTheStepsBeforeIt() {
        JobEntry job = jobs.add(CellFixtures.job("a", 2, 1));
        assertEquals(2, job.listReadyTasks(0).size());
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        assertEquals(1, job.listReadyTasks(0).size());
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        assertEquals(1, job.listReadyTasks(0).get(0).getName().step());
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        job.updateState(2);
        assertEquals(JobState.COMPLETED, job.getState());
    }

    @Test
    public void aTaskMayFailAsOftenAsItsQueueAllows() {
        JobEntry job = jobs.add(CellFixtures.job("a", 1));
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
        job.updateState(2);
        assertEquals(JobState.RUNNING, job.getState());
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
        job.updateState(2);
        assertEquals(JobState.FAILED, job.getState());
        assertTrue(job.listReadyTasks(0).isEmpty());
    }

    @Test
    public void aPerpetualTaskIsStartedAgainHoweverItEnds() {
        JobEntry job = jobs.add(CellFixtures.of("a", CellFixtures.step(1, List.of(), 0, true)));
        for (int i = 0; i < 9; i++) {
            runToEnd(job.listReadyTasks(0).get(0), RunEndKind.FAILED);
            job.updateState(2);
        }
        assertEquals(JobState.RUNNING, job.getState());
        assertEquals(1, job.listReadyTasks(0).size());
    }

    /**
     * Guards against a long-running job that is shown as completed and never runs again, because
     * the runs of its tasks ended as done.
     */
    @Test
    public void longRunningTaskIsStartedAgainAfterACompletedRun() {
        JobEntry job = jobs.add(CellFixtures.of("a", CellFixtures.step(2, List.of(), 0, true)));
        for (int i = 0; i < 5; i++) {
            job.listReadyTasks(0).forEach(task -> runToEnd(task, RunEndKind.DONE));
            job.updateState(2);
            assertEquals(JobState.RUNNING, job.getState());
            assertEquals(2, job.listReadyTasks(0).size());
        }
        job.cancel();
        assertEquals(List.of(), job.listReadyTasks(0));
        assertTrue(job.isFinalAndReleased());
    }

    /** The same if a new leader, or one that follows an earlier version, reads the record. */
    @Test
    public void longRunningTaskIsStartedAgainByANewLeader() {
        JobEntry job = jobs.add(CellFixtures.of("a", CellFixtures.step(1, List.of(), 0, true)));
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        JobRegistry restoredJobs = new JobRegistry();
        restoredJobs.restore(jobs.takeChanges());
        JobEntry restored = restoredJobs.find(JobId.parse("a"));
        TaskEntry task = restored.listReadyTasks(0).get(0);
        restored.updateState(2);
        assertEquals(JobState.RUNNING, restored.getState());
        task.assign(WORKER);
        assertEquals(2, task.getRun().number());
        assertFalse(
                task.recordEnd(
                        WORKER, new RunEnd(1, new RunId(task.getName(), 1), RunEndKind.DONE, "")),
                "the end of the former run, listed again");
        assertEquals(WORKER, task.getWorker());
    }

    @Test
    public void stepsAfterALongRunningOneStartOnceItsRunsHaveCompleted() {
        JobEntry job =
                jobs.add(
                        CellFixtures.of(
                                "a",
                                CellFixtures.step(2, List.of(), 0, true),
                                CellFixtures.step(1, List.of(0), 0, false)));
        runToEnd(job.listReadyTasks(0).get(0), RunEndKind.DONE);
        assertEquals(2, job.listReadyTasks(0).size());
        runToEnd(job.listReadyTasks(0).get(1), RunEndKind.DONE);
        assertEquals(3, job.listReadyTasks(0).size());
        runToEnd(job.listReadyTasks(0).get(2), RunEndKind.DONE);
        job.updateState(2);
        assertEquals(JobState.RUNNING, job.getState(), "until it is cancelled");
        assertEquals(2, job.listReadyTasks(0).size());
    }

    @Test
    public void aRepeatedJobIsDueAtItsTimes() {
        JobDefinition once = CellFixtures.job("a", 1);
        JobEntry job =
                jobs.add(new JobDefinition(once.id(), "q", "text", once.steps(), 10_000, 3000, 2));
        assertTrue(job.listReadyTasks(9_999).isEmpty());
        assertEquals(1, job.listReadyTasks(10_000).size());
        assertEquals(1, job.listReadyTasks(12_999).size());
        assertEquals(2, job.listReadyTasks(13_000).size());
    }

    @Test
    public void newLeaderRestoresPersistedJobs() {
        JobEntry job = jobs.add(CellFixtures.job("a", 2));
        jobs.add(CellFixtures.job("b", 1));
        List<KeyedRecord> records = new ArrayList<>(jobs.takeChanges());
        job.listReadyTasks(0).get(0).assign(WORKER);
        job.updateState(2);
        jobs.markChanged(job);
        records.addAll(jobs.takeChanges());
        JobRegistry restoredJobs = new JobRegistry();
        restoredJobs.restore(records);
        JobEntry restored = restoredJobs.find(JobId.parse("a"));
        assertEquals(JobState.RUNNING, restored.getState());
        assertEquals(1, restored.listReadyTasks(0).size());
        assertEquals(
                WORKER,
                restoredJobs.findTask(restored.allTasks().toList().get(0).getName()).getWorker());
        assertEquals(3, restoredJobs.add(CellFixtures.job("c", 1)).getOrder());
    }

    @Test
    public void removedJobIsUnknownToANewLeader() {
        JobEntry job = jobs.add(CellFixtures.job("a", 1));
        List<KeyedRecord> records = new ArrayList<>(jobs.takeChanges());
        jobs.remove(job);
        records.addAll(jobs.takeChanges());
        JobRegistry restoredJobs = new JobRegistry();
        restoredJobs.restore(records);
        assertNull(restoredJobs.find(JobId.parse("a")));
    }

    @Test
    public void onlyTheStateOfAFinishedJobIsPersisted() {
        JobEntry job = jobs.add(CellFixtures.job("a", 1));
        List<KeyedRecord> records = new ArrayList<>(jobs.takeChanges());
        TaskEntry task = job.listReadyTasks(0).get(0);
        task.assign(WORKER);
        job.cancel();
        jobs.markChanged(job);
        List<KeyedRecord> recordsWhileRunning = jobs.takeChanges();
        assertEquals(1, recordsWhileRunning.size());
        records.addAll(recordsWhileRunning);
        task.release();
        jobs.markChanged(job);
        records.addAll(jobs.takeChanges());
        JobRegistry restoredJobs = new JobRegistry();
        restoredJobs.restore(records);
        JobEntry restored = restoredJobs.find(JobId.parse("a"));
        assertEquals(JobState.CANCELLED, restored.getState());
        assertEquals(JobState.CANCELLED, restored.getPersistedState());
        assertEquals("q", restored.getDefinition().queue());
        assertEquals(0, restored.allTasks().count());
        assertEquals(2, restoredJobs.add(CellFixtures.job("b", 1)).getOrder());
    }
}
