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
import org.standlink.BundleFixtures;
import org.standlink.FakeClock;
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

/**
 * Tests from when the leader role counts the wait after its claim, and which heartbeats it counts
 * as reports.
 */
public class TestLeaderService {

    private static final String ONE =
            BundleFixtures.SCAN_JOB
                    .replace("'tasks':4", "'tasks':1")
                    .replace("'runSeconds':60", "'runSeconds':5000");

    private static final TaskId TASK = TaskId.parse("scan#0");

    private final FakeClock clock = new FakeClock();

    private final MemoryLog log = new MemoryLog(clock, 100, Long.MAX_VALUE / 4);

    private final LogFollower follower = new LogFollower(log, (id, refusal) -> {});

    private Runnable beforeRead;

    /** A log whose reader may be delayed between the start of a read and the read itself. */
    private final LogPort delayedLog =
            new LogPort() {
                @Override
                public long append(byte[] record) {
                    return log.append(record);
                }

                @Override
                public LogBatch read(long from, int maxRecords) {
                    Runnable delay = beforeRead;
                    beforeRead = null;
                    if (delay != null) {
                        delay.run();
                    }
                    return log.read(from, maxRecords);
                }
            };

    private final CellNode oldLeader = new CellNode(1, clock, log);

    private final CellNode newLeader = new CellNode(2, clock, delayedLog);

    private final CellNode agent = new CellNode(3, clock, log);

    private void publish() {
        String signed = BundleFixtures.signed(BundleFixtures.bundle(1, ONE));
        log.append(RecordCodec.encode(new BundleRecord(RecordCodec.newId(), signed)));
    }

    private void runLeader(CellNode leader, int seconds) {
        for (int i = 0; i < seconds; i++) {
            clock.advance(1000);
            leader.service.runOnce();
            exchangeHeartbeat(leader);
        }
    }

    private void exchangeHeartbeat(CellNode leader) {
        try {
            agent.receiveAnswer(
                    leader.service.handleHeartbeat(agent.createHeartbeat(leader.service)),
                    clock.nowMillis());
        } catch (StandlinkException refused) {
            // The process may no longer act as leader.
        }
        agent.supervisor.tick(CellNode.CAPACITY, org.standlink.Resources.NONE, false);
    }

    private TaskState getTask() {
        follower.poll();
        return follower.read(fold -> fold.getCellState(CellHarness.CELL).getTask(TASK));
    }

    // -----------------------------------------------------------------------
    /**
     * Guards against a new leader that releases a task which still runs under the old leader. The
     * claim of the new leader is appended late, while the new leader is delayed in the read that
     * shows it, and the old leader reads the log after that read was started. The wait for the old
     * leader's authority must therefore not be counted from the start of that read. The old leader
     * continues to grant its agent leases until its authority expires.
     */
    @Test
    void waitsForAnAuthorityConfirmedDuringItsReadToExpire() {
        publish();
        oldLeader.service.claim();
        runLeader(oldLeader, 5);
        assertEquals(1, agent.worker.getRunningAttempts().size());
        log.delayAppends(1);
        assertThrows(StandlinkException.class, newLeader.service::claim);
        beforeRead =
                () -> {
                    runLeader(oldLeader, 30);
                    log.executeDelayedAppends();
                };
        newLeader.service.runOnce();
        assertTrue(newLeader.service.isLeading());
        for (int i = 0; i < 680; i++) {
            clock.advance(1000);
            exchangeHeartbeat(oldLeader);
            newLeader.service.runOnce();
            boolean running = !agent.worker.getRunningAttempts().isEmpty();
            assertTrue(
                    !running || getTask().isAssigned(),
                    "released while it was running, after " + i + " s");
        }
        assertEquals(0, agent.worker.getRunningAttempts().size());
        assertTrue(!getTask().isAssigned(), "released once the authority had expired");
    }

    /**
     * Guards against a leader that no longer decides anything. The first heartbeat of an agent
     * omits reports that the leader does not know and is rejected; the agent must not count as
     * having reported. Found by {@link TestAbandonedAttemptProperties}.
     */
    @Test
    void decidesAfterTheOnlyHeartbeatOfAnAgentWasRefused() {
        publish();
        oldLeader.service.claim();
        runLeader(oldLeader, 5);
        Heartbeat partialHeartbeat = agent.createHeartbeat(oldLeader.service);
        newLeader.service.claim();
        assertThrows(
                StandlinkException.class,
                () -> newLeader.service.handleHeartbeat(partialHeartbeat));
        runLeader(newLeader, 3);
        assertTrue(getTask().isAssigned());
        assertEquals(1, agent.worker.getRunningAttempts().size());
    }
}
