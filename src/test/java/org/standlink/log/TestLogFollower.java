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

/** Tests the fold of the log with racing writers, delayed appends and dropped records. */
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

    private void appendTaskEvents(long epoch, long sequence, TaskEvent... events) {
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

    private static TaskState readTask(LogFollower follower) {
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
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        assertFalse(readTask(follow()).isAssigned());
    }

    @Test
    void assignsOnceAfterEachRelease() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        appendTaskEvents(1, 2, assign(2, "vm-2"));
        assertEquals(Attempt.of(1), readTask(follow()).attempt());
        appendTaskEvents(1, 3, release(1));
        appendTaskEvents(1, 4, assign(2, "vm-2"));
        appendTaskEvents(1, 5, assign(2, "vm-3"));
        assertEquals(VmId.parse("vm-2"), readTask(follow()).worker());
        assertEquals("7", readTask(follow()).checkpoint());
    }

    @Test
    void ignoresAnAppendThatLandsAfterALaterOne() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        log.delayAppends(1);
        assertThrows(StandlinkException.class, () -> appendTaskEvents(1, 2, release(1)));
        publish(2, "");
        appendTaskEvents(1, 3, release(1));
        publish(3, BundleFixtures.SCAN_JOB);
        appendTaskEvents(1, 4, assign(1, "vm-2"));
        assertFalse(readTask(follow()).isAssigned(), "an attempt is never repeated");
        appendTaskEvents(1, 5, assign(2, "vm-2"));
        log.executeDelayedAppends();
        assertTrue(
                readTask(follow()).isAssigned(),
                "a delayed release must not end an attempt of a job that was added again");
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
        assertEquals(Attempt.of(1), readTask(follow()).attempt());
    }

    @Test
    void startsFromADelayedSnapshot() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        LogFollower earlyFollower = follow();
        SnapshotRecord snapshot =
                earlyFollower.read(
                        fold ->
                                fold.getCellState(CELL)
                                        .createSnapshot(
                                                fold.getNextOffset() - 1,
                                                fold.getBundles().getSignedText()));
        appendTaskEvents(1, 2, release(1));
        publish(2, BundleFixtures.SCAN_JOB);
        append(snapshot);
        appendTaskEvents(1, 3, assign(2, "vm-3"));
        log.dropBefore(3);
        LogFollower lateFollower = follow();
        earlyFollower.poll();
        assertEquals(readTask(earlyFollower), readTask(lateFollower));
        assertEquals(
                BundleVersion.of(2), lateFollower.read(fold -> fold.getBundles().getVersion()));
    }

    @Test
    void hasNoStateWithoutASnapshotAndLoadsALaterOne() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        LogFollower earlyFollower = follow();
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        earlyFollower.poll();
        log.dropBefore(3);
        LogFollower lateFollower = follow();
        assertEquals(false, lateFollower.read(LogFold::isBundleKnown));
        assertEquals(false, lateFollower.read(fold -> fold.isCellKnown(CELL)));
        append(
                earlyFollower.read(
                        fold ->
                                fold.getCellState(CELL)
                                        .createSnapshot(
                                                fold.getNextOffset() - 1,
                                                fold.getBundles().getSignedText())));
        lateFollower.poll();
        assertEquals(true, lateFollower.read(LogFold::isBundleKnown));
        assertEquals(readTask(earlyFollower), readTask(lateFollower));
    }

    /**
     * Guards against a leader that answers heartbeats from an outdated state. A snapshot of a state
     * that the fold lacks makes the follower read the log again; the state of an older snapshot was
     * visible until the rest had been read. The test checks the visible state on each read of the
     * log.
     */
    @Test
    void neverShowsAnEarlierStateWhileRereadingTheLog() {
        publish(1, BundleFixtures.SCAN_JOB);
        claim(1, "vm-1");
        appendTaskEvents(1, 1, assign(1, "vm-1"));
        append(
                follow().read(
                                fold ->
                                        fold.getCellState(CELL)
                                                .createSnapshot(fold.getNextOffset() - 1, null)));
        appendTaskEvents(1, 2, release(1));
        appendTaskEvents(1, 3, assign(2, "vm-3"));
        log.dropBefore(3);
        List<Attempt> seenAttempts = new ArrayList<>();
        AtomicReference<LogFollower> follower = new AtomicReference<>();
        LogPort observedLog =
                new LogPort() {
                    @Override
                    public long append(byte[] record) {
                        return log.append(record);
                    }

                    @Override
                    public LogBatch read(long from, int maxEntries) {
                        seenAttempts.add(readTask(follower.get()).attempt());
                        return log.read(from, maxEntries);
                    }
                };
        follower.set(new LogFollower(observedLog, (id, refusal) -> {}));
        follower.get().poll();
        assertEquals(Attempt.of(2), readTask(follower.get()).attempt());
        seenAttempts.clear();
        append(new CellState(CellId.parse("two")).createSnapshot(log.getEnd() - 1, null));
        follower.get().poll();
        assertEquals(Set.of(Attempt.of(2)), Set.copyOf(seenAttempts));
        assertEquals(Attempt.of(2), readTask(follower.get()).attempt());
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
        long endBefore = log.getEnd();
        new BundlePublisher(log).publish(signed);
        assertEquals(endBefore, log.getEnd(), "a bundle in force is not appended again");
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
