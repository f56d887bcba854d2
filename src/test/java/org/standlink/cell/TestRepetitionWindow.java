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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.JobId;
import org.standlink.job.JobDefinition;
import org.standlink.job.JobDefinitionFormat;
import org.standlink.job.JobState;
import org.standlink.job.RunEnd;
import org.standlink.job.RunEndKind;
import org.standlink.job.StepDefinition;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;
import org.standlink.store.KeyedRecord;
import org.standlink.store.MessagePackCodec;

/**
 * Tests that a job costs what is due of it, however often it repeats.
 *
 * <p>Guards against leaders that ran out of memory one after the other: they kept an entry and
 * wrote a record for each task of each repetition from the start.
 */
public class TestRepetitionWindow {

    private static final WorkerIncarnation WORKER = WorkerIncarnation.parse("one@1000");
    private static final long FIRST_MILLIS = 600_000;
    private static final long INTERVAL_MILLIS = 60_000;
    private static final int YEAR_OF_MINUTES = 525_600;

    private JobRegistry jobs = new JobRegistry();

    /** The records of all appends so far. */
    private final List<KeyedRecord> records = new ArrayList<>();

    private static JobDefinition repeated(String id, int repetitions, JobDefinition once) {
        return new JobDefinition(
                JobId.parse(id),
                "q",
                "text",
                once.steps(),
                FIRST_MILLIS,
                INTERVAL_MILLIS,
                repetitions);
    }

    private JobEntry add(int repetitions, int... counts) {
        JobEntry job = jobs.add(repeated("a", repetitions, CellFixtures.job("a", counts)));
        job.markAccepted(0, 1);
        return job;
    }

    private static long dueAt(int repetition) {
        return FIRST_MILLIS + repetition * INTERVAL_MILLIS;
    }

    private static TaskName task(int repetition, int step, int index) {
        return new TaskName(JobId.parse("a"), repetition, step, index);
    }

    private void end(JobEntry job, TaskEntry task, RunEndKind kind) {
        task.recordEnd(task.getWorker(), new RunEnd(1, task.getRun(), kind, ""));
        job.updateState(2);
        jobs.markChanged(job);
    }

    private void complete(JobEntry job, TaskEntry task) {
        task.assign(WORKER);
        end(job, task, RunEndKind.DONE);
    }

    private void completeAll(JobEntry job, long wallMillis) {
        List<TaskEntry> ready = job.listReadyTasks(wallMillis);
        while (!ready.isEmpty()) {
            ready.forEach(task -> complete(job, task));
            ready = job.listReadyTasks(wallMillis);
        }
    }

    /** Persists the changes, and continues with what a new leader reads. */
    private JobEntry changeLeader() {
        records.addAll(jobs.takeChanges());
        jobs = new JobRegistry();
        jobs.restore(records);
        return jobs.find(JobId.parse("a"));
    }

    private int stateBytes() {
        List<KeyedRecord> changes = jobs.takeChanges();
        records.addAll(changes);
        return changes.stream()
                .filter(record -> record.key().startsWith("s/"))
                .mapToInt(record -> record.value().length)
                .sum();
    }

    // -----------------------------------------------------------------------
    @Test
    public void acceptedJobKeepsNoTaskBeforeItIsDue() {
        JobEntry job = add(Integer.MAX_VALUE, 8);
        assertEquals(List.of(), job.listReadyTasks(FIRST_MILLIS - 1));
        assertEquals(0, job.allTasks().count());
        assertEquals(8, job.listReadyTasks(FIRST_MILLIS).size());
        assertEquals(8, job.allTasks().count());
    }

    @Test
    public void recordDoesNotGrowWithTheNumberOfRepetitions() {
        add(10, 8);
        int few = stateBytes();
        jobs = new JobRegistry();
        add(YEAR_OF_MINUTES, 8);
        assertEquals(few, stateBytes());
    }

    @Test
    public void finishedRepetitionsAreNotKept() {
        JobEntry job = add(YEAR_OF_MINUTES, 8);
        for (int repetition = 0; repetition < 1000; repetition++) {
            completeAll(job, dueAt(repetition));
            assertEquals(0, job.allTasks().count());
        }
        assertEquals(JobState.RUNNING, job.getState());
        assertTrue(stateBytes() < 40, "a record of a few numbers");
    }

    @Test
    public void jobIsCompletedAfterItsLastRepetition() {
        JobEntry job = add(3, 2, 1);
        completeAll(job, dueAt(1));
        assertEquals(JobState.RUNNING, job.getState());
        completeAll(job, dueAt(2));
        assertEquals(JobState.COMPLETED, job.getState());
        assertTrue(job.isFinalAndReleased());
    }

    @Test
    public void overlappingRepetitionsFinishInAnyOrder() {
        JobEntry job = add(4, 1);
        List<TaskEntry> ready = job.listReadyTasks(dueAt(2));
        assertEquals(3, ready.size());
        complete(job, ready.get(1));
        complete(job, ready.get(2));
        job = changeLeader();
        assertEquals(
                List.of(task(0, 0, 0), task(3, 0, 0)),
                job.listReadyTasks(dueAt(3)).stream().map(TaskEntry::getName).toList());
        completeAll(job, dueAt(3));
        assertEquals(JobState.COMPLETED, job.getState());
    }

    @Test
    public void newLeaderStartsNoFinishedRepetitionAgain() {
        JobEntry job = add(YEAR_OF_MINUTES, 2);
        completeAll(job, dueAt(4));
        TaskEntry running = job.listReadyTasks(dueAt(5)).get(0);
        running.assign(WORKER);
        jobs.markChanged(job);
        job = changeLeader();
        assertEquals(WORKER, job.findTask(running.getName()).getWorker());
        assertEquals(
                List.of(task(5, 0, 1), task(6, 0, 0), task(6, 0, 1)),
                job.listReadyTasks(dueAt(6)).stream().map(TaskEntry::getName).toList());
        assertTrue(job.hasStarted());
    }

    @Test
    public void newLeaderKnowsThatNothingWasStarted() {
        add(YEAR_OF_MINUTES, 2).listReadyTasks(dueAt(3));
        JobEntry job = changeLeader();
        assertFalse(job.hasStarted());
        assertEquals(JobState.QUEUED, job.getState());
        assertEquals(8, job.listReadyTasks(dueAt(3)).size());
    }

    @Test
    public void failuresBeforeAChangeOfLeaderCount() {
        JobEntry job = add(5, 1);
        TaskEntry task = job.listReadyTasks(dueAt(0)).get(0);
        task.assign(WORKER);
        end(job, task, RunEndKind.FAILED);
        job = changeLeader();
        task = job.listReadyTasks(dueAt(0)).get(0);
        assertEquals(1, task.getFailures());
        task.assign(WORKER);
        end(job, task, RunEndKind.FAILED);
        assertEquals(JobState.FAILED, job.getState());
    }

    // -----------------------------------------------------------------------
    /** A late end, and a run that a worker lists, concern a task and not an unknown one. */
    @Test
    public void taskOfAFinishedRepetitionIsKnown() {
        JobEntry job = add(5, 1);
        completeAll(job, dueAt(1));
        assertNull(jobs.findTask(task(0, 0, 0)));
        assertNotNull(jobs.findStep(task(0, 0, 0)));
        assertNotNull(jobs.findStep(task(4, 0, 0)));
        assertNull(jobs.findStep(task(5, 0, 0)));
        assertNull(jobs.findStep(task(0, 1, 0)));
        assertNull(jobs.findStep(task(0, 0, 1)));
    }

    @Test
    public void repetitionWithARunThatIsNotReleasedIsKept() {
        JobEntry job = add(5, 1);
        TaskEntry task = job.listReadyTasks(dueAt(0)).get(0);
        task.assign(WORKER);
        WorkerIncarnation other = WorkerIncarnation.parse("two@1000");
        task.recordEnd(other, new RunEnd(1, task.getRun(), RunEndKind.DONE, ""));
        job.updateState(2);
        assertEquals(task, job.findTask(task.getName()));
        task.release();
        job.updateState(2);
        assertNull(job.findTask(task.getName()));
    }

    @Test
    public void repetitionsThatAreDueAtOnceAreOpenedInTheirOrder() {
        JobEntry job = add(YEAR_OF_MINUTES, 8);
        long wallMillis = dueAt(YEAR_OF_MINUTES);
        int finished = 0;
        while (finished < 20 * 8) {
            List<TaskEntry> ready = job.listReadyTasks(wallMillis);
            assertTrue(ready.size() < RepetitionWindow.MAX_WAITING_TASKS + 8);
            assertTrue(job.allTasks().count() <= RepetitionWindow.MAX_WAITING_TASKS + 8);
            assertEquals(task(finished / 8, 0, finished % 8), ready.get(0).getName());
            complete(job, ready.get(0));
            finished++;
        }
        assertTrue(job.getWindow().countDueUnopened(wallMillis) > YEAR_OF_MINUTES - 100);
    }

    /** Guards against starts ahead of their time, by a leader whose clock had run ahead. */
    @Test
    public void repetitionIsNotReadyAfterTheClockWasSetBack() {
        JobEntry job = add(YEAR_OF_MINUTES, 1);
        assertEquals(6, job.listReadyTasks(dueAt(5)).size());
        assertEquals(2, job.listReadyTasks(dueAt(1)).size());
        assertEquals(0, job.listReadyTasks(dueAt(0) - 1).size());
        assertEquals(3, job.listReadyTasks(dueAt(2)).size());
    }

    @Test
    public void placedTasksDoNotKeepLaterRepetitionsWaiting() {
        JobEntry job = add(YEAR_OF_MINUTES, 100);
        job.listReadyTasks(dueAt(0)).forEach(task -> task.assign(WORKER));
        assertEquals(100, job.listReadyTasks(dueAt(1)).size());
    }

    @Test
    public void blockedStepsDoNotKeepLaterRepetitionsWaiting() {
        JobEntry job = add(YEAR_OF_MINUTES, 1, 100);
        job.listReadyTasks(dueAt(0)).forEach(task -> task.assign(WORKER));
        assertEquals(1, job.listReadyTasks(dueAt(1)).size());
    }

    @Test
    public void jobsShareTheRoomForTasksThatAreDue() {
        int count = 0;
        List<JobEntry> entries = new ArrayList<>();
        JobDefinition wide = repeated("a", YEAR_OF_MINUTES, CellFixtures.job("a", 5000));
        while (jobs.getSizePolicy().hasRoomFor(wide)) {
            String id = String.format("%016x", ++count);
            entries.add(jobs.add(repeated(id, YEAR_OF_MINUTES, wide)));
        }
        assertEquals(TaskBudget.MAX_TASKS / 5000, count);
        for (JobEntry job : entries) {
            job.listReadyTasks(dueAt(0)).forEach(task -> task.assign(WORKER));
            assertEquals(List.of(), job.listReadyTasks(dueAt(5)), "no room for the next one");
        }
        entries.get(0).cancel();
        jobs.remove(entries.get(1));
        assertEquals(10_000, entries.get(2).listReadyTasks(dueAt(5)).size() + 5000);
    }

    // -----------------------------------------------------------------------
    /** A record as written by earlier versions, with the tasks of all repetitions. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record EarlierRecord(
            long order, JobState state, List<SubmittedTaskRecord> tasks, long acceptedWallMillis) {}

    private static SubmittedTaskRecord earlierTask(int lastRun, boolean done, String worker) {
        return new SubmittedTaskRecord(lastRun, 0, 0, done, worker, "", 0, 0, 0, false);
    }

    @Test
    public void recordOfAnEarlierVersionIsRead() {
        List<SubmittedTaskRecord> tasks = new ArrayList<>();
        for (int repetition = 0; repetition < 1000; repetition++) {
            boolean done = repetition < 3 || repetition == 4;
            boolean running = repetition == 5;
            String worker = running ? WORKER.toString() : "";
            tasks.add(earlierTask(done || running ? 1 : 0, done, worker));
            tasks.add(earlierTask(done ? 2 : 0, done, ""));
        }
        JobDefinition definition = repeated("a", 1000, CellFixtures.job("a", 2));
        records.add(
                new KeyedRecord(
                        "d/" + definition.id(),
                        MessagePackCodec.encode(definition, JobDefinitionFormat.JOB)));
        records.add(
                new KeyedRecord(
                        "s/" + definition.id(),
                        MessagePackCodec.encode(new EarlierRecord(1, JobState.RUNNING, tasks, 1))));
        JobEntry job = changeLeader();
        assertEquals(WORKER, job.findTask(task(5, 0, 0)).getWorker());
        assertEquals(
                List.of(task(3, 0, 0), task(3, 0, 1), task(5, 0, 1), task(6, 0, 0), task(6, 0, 1)),
                job.listReadyTasks(dueAt(6)).stream().map(TaskEntry::getName).toList());
    }

    /** An earlier version must not take the listed repetitions for the first ones. */
    @Test
    public void earlierVersionFindsNoTasksInARecord() {
        add(YEAR_OF_MINUTES, 2).listReadyTasks(dueAt(0)).get(0).assign(WORKER);
        KeyedRecord state =
                jobs.takeChanges().stream()
                        .filter(record -> record.key().startsWith("s/"))
                        .findFirst()
                        .orElseThrow();
        assertNull(MessagePackCodec.decode(state.value(), EarlierRecord.class).tasks());
    }

    @Test
    public void oneStepIsOneOfTheJobsSteps() {
        StepDefinition step = CellFixtures.step(3, List.of(), 0, false);
        assertEquals(3, CellFixtures.of("a", step).tasksPerRepetition());
    }
}
