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
package org.standlink.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.standlink.FakeClock;
import org.standlink.Fixtures;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.log.BundleRecord;
import org.standlink.log.LogFollower;
import org.standlink.log.RecordCodec;
import org.standlink.log.TaskState;
import org.standlink.port.LogBatch;
import org.standlink.port.LogPort;
import org.standlink.standin.MemoryLog;
import org.standlink.wire.Heartbeat;

/** Tests when the leader role counts its claim from, and whom it takes as heard. */
public class TestLeaderService {

    private static final String ONE =
            Fixtures.SCAN
                    .replace("'tasks':4", "'tasks':1")
                    .replace("'runSeconds':60", "'runSeconds':5000");

    private static final TaskId TASK = TaskId.parse("scan#0");

    private final FakeClock clock = new FakeClock();

    private final MemoryLog log = new MemoryLog(clock, 100, Long.MAX_VALUE / 4);

    private final LogFollower watcher = new LogFollower(log, (id, refusal) -> {});

    private Runnable beforeRead;

    /** A log whose reader may be held up between the begin of a read and the read. */
    private final LogPort slow =
            new LogPort() {
                @Override
                public long append(byte[] record) {
                    return log.append(record);
                }

                @Override
                public LogBatch read(long from, int most) {
                    Runnable hold = beforeRead;
                    beforeRead = null;
                    if (hold != null) {
                        hold.run();
                    }
                    return log.read(from, most);
                }
            };

    private final CellNode old = new CellNode(1, clock, log);

    private final CellNode next = new CellNode(2, clock, slow);

    private final CellNode agent = new CellNode(3, clock, log);

    private void publish() {
        String signed = Fixtures.signed(Fixtures.bundle(1, ONE));
        log.append(RecordCodec.encode(new BundleRecord(RecordCodec.newId(), signed)));
    }

    private void lead(CellNode leader, int seconds) {
        for (int i = 0; i < seconds; i++) {
            clock.advance(1000);
            leader.service.runOnce();
            serve(leader);
        }
    }

    private void serve(CellNode leader) {
        try {
            agent.receiveAnswer(
                    leader.service.handleHeartbeat(agent.createHeartbeat(leader.service)),
                    clock.nowMillis());
        } catch (StandlinkException refused) {
            // It may not act as leader any more.
        }
        agent.supervisor.tick(CellNode.CAPACITY, org.standlink.Resources.NONE, false);
    }

    private TaskState task() {
        watcher.poll();
        return watcher.read(fold -> fold.getCell(CellHarness.CELL).get(TASK));
    }

    // -----------------------------------------------------------------------
    /**
     * Seen by reading, not in a run: a new leader released a task that still ran under the old one.
     * How it came about: its claim landed late, while it was held up in the read that showed it,
     * and the old leader had read the log after that read began. Cause: the wait for the old
     * leader's authority was counted from the begin of that read. Proof: the old leader serves its
     * agent to the end of its authority.
     */
    @Test
    void waitsForAnAuthorityConfirmedDuringItsReadToExpire() {
        publish();
        old.service.claim();
        lead(old, 5);
        assertEquals(1, agent.worker.getRunning().size());
        log.delayAppends(1);
        assertThrows(StandlinkException.class, next.service::claim);
        beforeRead =
                () -> {
                    lead(old, 30);
                    log.landLate();
                };
        next.service.runOnce();
        assertTrue(next.service.isLeading());
        for (int i = 0; i < 680; i++) {
            clock.advance(1000);
            serve(old);
            next.service.runOnce();
            boolean runs = !agent.worker.getRunning().isEmpty();
            assertTrue(!runs || task().isAssigned(), "released while it ran, after " + i + " s");
        }
        assertEquals(0, agent.worker.getRunning().size());
        assertTrue(!task().isAssigned(), "released once the authority was over");
    }

    /**
     * Seen in {@link TestAbandonedAttemptProperties}: a leader decided nothing any more. How it
     * came about: the first heartbeat that it had of an agent left out what it did not know, and
     * was refused. Cause: the agent counted as heard all the same. Proof: the leader goes on.
     */
    @Test
    void decidesAfterTheOnlyHeartbeatOfAnAgentWasRefused() {
        publish();
        old.service.claim();
        lead(old, 5);
        Heartbeat part = agent.createHeartbeat(old.service);
        next.service.claim();
        assertThrows(StandlinkException.class, () -> next.service.handleHeartbeat(part));
        lead(next, 3);
        assertTrue(task().isAssigned());
        assertEquals(1, agent.worker.getRunning().size());
    }
}
