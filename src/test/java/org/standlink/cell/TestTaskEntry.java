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

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;

/** Tests how the ends of runs change a task, in every order in which they may arrive. */
public class TestTaskEntry {

    private static final WorkerIncarnation WORKER = WorkerIncarnation.parse("one@1000");
    private static final WorkerIncarnation OTHER_WORKER = WorkerIncarnation.parse("two@1000");
    private static final TaskName NAME = TaskName.parse("j.0.0.0");

    private TaskEntry task;

    @BeforeEach
    public void assign() {
        task = new TaskEntry(NAME, CellFixtures.step(1, List.of(), 0, false));
        task.assign(WORKER);
    }

    private static RunEnd end(int number, RunEndKind kind, String checkpoint) {
        return new RunEnd(1, new RunId(NAME, number), kind, checkpoint);
    }

    @Test
    public void aFailureListedTwiceCountsOnce() {
        assertTrue(task.recordEnd(WORKER, end(1, RunEndKind.FAILED, "")));
        assertFalse(task.recordEnd(WORKER, end(1, RunEndKind.FAILED, "")));
        assertEquals(1, task.getFailures());
    }

    @Test
    public void aFailureCountsOnceAlsoAfterANewLeaderReadTheRecord() {
        task.recordEnd(WORKER, end(1, RunEndKind.FAILED, ""));
        TaskEntry restored = new TaskEntry(NAME, task.getStep());
        restored.restore(task.toRecord());
        assertFalse(restored.recordEnd(WORKER, end(1, RunEndKind.FAILED, "")));
        assertEquals(1, restored.getFailures());
    }

    @Test
    public void anOlderRunThatIsDoneEndsTheTask() {
        task.release();
        task.assign(OTHER_WORKER);
        assertTrue(task.recordEnd(WORKER, end(1, RunEndKind.DONE, "")));
        assertTrue(task.isDone());
        assertEquals(OTHER_WORKER, task.getWorker());
    }

    @Test
    public void theEndOfAnOlderRunLeavesTheNewerOneInPlace() {
        task.release();
        task.assign(OTHER_WORKER);
        assertFalse(task.recordEnd(WORKER, end(1, RunEndKind.LAPSED, "old")));
        assertEquals(OTHER_WORKER, task.getWorker());
        assertEquals("", task.getCheckpoint());
    }

    @Test
    public void checkpointOfAStoppedRunIsPassedToTheNext() {
        assertTrue(task.recordEnd(WORKER, end(1, RunEndKind.STOPPED, "saved")));
        assertNull(task.getWorker());
        assertEquals("saved", task.getCheckpoint());
        assertEquals(0, task.getFailures());
    }

    @Test
    public void nothingChangesATaskThatIsDone() {
        task.recordEnd(WORKER, end(1, RunEndKind.DONE, ""));
        assertFalse(task.recordEnd(WORKER, end(1, RunEndKind.FAILED, "")));
        assertEquals(0, task.getFailures());
    }

    /** A completed run of a long-running task does not end its next run, nor its checkpoint. */
    @Test
    public void lateCompletionOfAFormerRunKeepsTheNextRunOfALongRunningTask() {
        TaskEntry lasting = new TaskEntry(NAME, CellFixtures.step(1, List.of(), 0, true));
        lasting.assign(WORKER);
        lasting.release();
        lasting.assign(OTHER_WORKER);
        lasting.saveCheckpoint("c");
        assertTrue(lasting.recordEnd(WORKER, end(1, RunEndKind.DONE, "")));
        assertEquals(OTHER_WORKER, lasting.getWorker());
        assertEquals("c", lasting.getCheckpoint());
        assertFalse(lasting.isDone());
        assertTrue(lasting.recordEnd(OTHER_WORKER, end(2, RunEndKind.DONE, "")));
        assertEquals("", lasting.getCheckpoint(), "the next run begins anew");
    }
}
