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
package org.standlink.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.standlink.Attempt;
import org.standlink.BundleFixtures;
import org.standlink.BundleVersion;
import org.standlink.CellId;
import org.standlink.Epoch;
import org.standlink.ErrorCode;
import org.standlink.FakeClock;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.VmId;
import org.standlink.port.LogBatch;
import org.standlink.port.LogPort;
import org.standlink.standin.MemoryLog;

/** Tests the fold of the log, across races, late appends and dropped records. */
public class TestLogFollower {

    private static final CellId CELL = CellId.parse("one");

    private static final TaskId TASK = TaskId.parse("scan#0");

    private static final Resources SIZE = Resources.ofCores(2, 1000, 0);

    private final MemoryLog log = new MemoryLog(new FakeClock(), 1000, Long.MAX_VALUE / 4);

    private void append(LogRecord record) {
        log.append(RecordCodec.encode(record));
    }

    private void publish(long version, String jobs) {
        append(
                new BundleRecord(
                        RecordCodec.newId(),
                        BundleFixtures.signed(BundleFixtures.bundle(version, jobs))));
    }

    private void claim(long epoch, String vm) {
        append(
                new ClaimRecord(
                        RecordCodec.newId(),
                        CELL,
                        Epoch.of(epoch),
                        VmId.parse(vm),
                        Incarnation.of(epoch)));
    }

    private void tasks(long epoch, long sequence, TaskEvent... events) {
        append(
                new BundleTaskRecord(
                        RecordCodec.newId(), CELL, Epoch.of(epoch), sequence, List.of(events)));
    }

    private static TaskEvent assign(long attempt, String vm) {
        return TaskEvent.ofAssign(TASK, Attempt.of(attempt), VmId.parse(vm), SIZE);
    }

    private static TaskEvent release(long attempt) {
        return TaskEvent.ofEnd(TaskEvent.Kind.RELEASE, TASK, Attempt.of(attempt), "7");
    }

    private LogFollower follow() {
        LogFollower follower = new LogFollower(log, (id, refusal) -> {});
        follower.poll();
        return follower;
    }

    private static TaskState task(LogFollower follower) {
        return follower.read(fold -> fold.getCellState(CELL).getTask(TASK));
    }

    @Test
    void acceptsTheFirstOfTwoClaims() {
        claim(1, "vm-1");
        claim(1, "vm-2");
        assertEquals(
                VmId.parse("vm-1"), follow().read(fold -> fold.getCellState(CELL).getLeader()));
    }

    @Test
    void ignoresRecordsOfAnEarlierLeader() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        claim(2, "vm-2");
        tasks(1, 1, assign(1, "vm-1"));
        assertFalse(task(follow()).isAssigned());
    }

    @Test
    void assignsOnceAfterEachRelease() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        tasks(1, 1, assign(1, "vm-1"));
        tasks(1, 2, assign(2, "vm-2"));
        assertEquals(Attempt.of(1), task(follow()).attempt());
        tasks(1, 3, release(1));
        tasks(1, 4, assign(2, "vm-2"));
        tasks(1, 5, assign(2, "vm-3"));
        assertEquals(VmId.parse("vm-2"), task(follow()).worker());
        assertEquals("7", task(follow()).checkpoint());
    }

    @Test
    void ignoresAnAppendThatLandsAfterALaterOne() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        tasks(1, 1, assign(1, "vm-1"));
        log.delayAppends(1);
        assertThrows(StandlinkException.class, () -> tasks(1, 2, release(1)));
        publish(2, "");
        tasks(1, 3, release(1));
        publish(3, BundleFixtures.SCAN_JOB);
        tasks(1, 4, assign(1, "vm-2"));
        assertFalse(task(follow()).isAssigned(), "an attempt is never repeated");
        tasks(1, 5, assign(2, "vm-2"));
        log.executeDelayedAppends();
        assertTrue(
                task(follow()).isAssigned(),
                "the old life's release must not end the new life's attempt");
    }

    @Test
    void appliesARecordOnceThatWasAppendedTwice() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        BundleTaskRecord record =
                new BundleTaskRecord(
                        "same", CELL, Epoch.of(1), 1, List.of(assign(1, "vm-1"), release(1)));
        append(record);
        append(record);
        assertEquals(Attempt.of(1), task(follow()).attempt());
    }

    @Test
    void startsFromADelayedSnapshot() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        tasks(1, 1, assign(1, "vm-1"));
        LogFollower whole = follow();
        SnapshotRecord snapshot =
                whole.read(
                        fold ->
                                fold.getCellState(CELL)
                                        .createSnapshot(
                                                fold.getNextOffset() - 1,
                                                fold.getBundles().getSignedText()));
        tasks(1, 2, release(1));
        publish(2, BundleFixtures.SCAN_JOB);
        append(snapshot);
        tasks(1, 3, assign(2, "vm-3"));
        log.dropBefore(3);
        LogFollower late = follow();
        whole.poll();
        assertEquals(task(whole), task(late));
        assertEquals(BundleVersion.of(2), late.read(fold -> fold.getBundles().getVersion()));
    }

    @Test
    void hasNoStateWithoutASnapshotAndLoadsALaterOne() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        LogFollower whole = follow();
        tasks(1, 1, assign(1, "vm-1"));
        whole.poll();
        log.dropBefore(3);
        LogFollower late = follow();
        assertEquals(false, late.read(LogFold::isBundleKnown));
        assertEquals(false, late.read(fold -> fold.isCellKnown(CELL)));
        append(
                whole.read(
                        fold ->
                                fold.getCellState(CELL)
                                        .createSnapshot(
                                                fold.getNextOffset() - 1,
                                                fold.getBundles().getSignedText())));
        late.poll();
        assertEquals(true, late.read(LogFold::isBundleKnown));
        assertEquals(task(whole), task(late));
    }

    /**
     * Seen by reading, not in a run: a leader answered heartbeats from a state that was over. How
     * it came about: a snapshot that its fold lacked made it read the log anew. Cause: the state of
     * the older snapshot was shown until the rest was read. Proof: the state is looked at whenever
     * the log is read.
     */
    @Test
    void neverShowsAnEarlierStateWhileRereadingTheLog() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        tasks(1, 1, assign(1, "vm-1"));
        append(
                follow().read(
                                fold ->
                                        fold.getCellState(CELL)
                                                .createSnapshot(fold.getNextOffset() - 1, null)));
        tasks(1, 2, release(1));
        tasks(1, 3, assign(2, "vm-3"));
        log.dropBefore(3);
        List<Attempt> seen = new ArrayList<>();
        AtomicReference<LogFollower> watched = new AtomicReference<>();
        LogPort looking =
                new LogPort() {
                    @Override
                    public long append(byte[] record) {
                        return log.append(record);
                    }

                    @Override
                    public LogBatch read(long from, int most) {
                        seen.add(task(watched.get()).attempt());
                        return log.read(from, most);
                    }
                };
        watched.set(new LogFollower(looking, (id, refusal) -> {}));
        watched.get().poll();
        assertEquals(Attempt.of(2), task(watched.get()).attempt());
        seen.clear();
        append(new CellState(CellId.parse("two")).createSnapshot(log.getEnd() - 1, null));
        watched.get().poll();
        assertEquals(Set.of(Attempt.of(2)), Set.copyOf(seen));
        assertEquals(Attempt.of(2), task(watched.get()).attempt());
    }

    @Test
    void publishesDespiteLostAnswers() {
        log.loseAnswers(1);
        assertEquals(
                BundleVersion.of(1),
                new BundlePublisher(log)
                        .publish(BundleFixtures.signed(BundleFixtures.bundle(1, ""))));
        String signed = BundleFixtures.signed(BundleFixtures.bundle(2, ""));
        new BundlePublisher(log).publish(signed);
        long before = log.getEnd();
        new BundlePublisher(log).publish(signed);
        assertEquals(before, log.getEnd(), "a bundle in force is not appended again");
    }

    @Test
    void refusesToPublishOnAStaleBase() {
        publish(1, "");
        publish(2, "");
        StandlinkException stale =
                assertThrows(
                        StandlinkException.class,
                        () ->
                                new BundlePublisher(log)
                                        .publish(
                                                BundleFixtures.signed(
                                                        BundleFixtures.bundle(
                                                                2, BundleFixtures.SCAN_JOB))));
        assertEquals(ErrorCode.STALE_BASE, stale.getCode());
        assertTrue(stale.getMessage().contains("version 2 won"));
    }
}
