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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.standlink.Fixtures;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.log.TaskState;
import org.standlink.wire.Heartbeat;

/**
 * Tests that an attempt which the leader has given up starts nowhere afterwards.
 *
 * <p>Seen: one task ran in two places, as an agent started an attempt after the leader had given it
 * to another worker. How it came about: the order to start outlived the lease or the authority
 * under which it was given. Cause: what was given up was still handed out, or an agent was believed
 * about a time that was over. Proof: the cell counts a violation whenever an attempt runs that the
 * log does not give to that worker; the fold is asked after each tick.
 */
public class TestAbandonedAttempts {

    private static final TaskId TASK = TaskId.parse("scan#0");

    private static final String LONG =
            Fixtures.SCAN.replace("'runSeconds':60", "'runSeconds':5000");

    private static final String ONE = LONG.replace("'tasks':4", "'tasks':1");

    private static final String FILL = LONG.replace("'tasks':4", "'tasks':20");

    private static final String URGENT =
            "{'id':'urgent','mode':'manage','team':'security','cell':'one','batchClass':'u','tasks':3,"
                    + "'resources':{'cores':6,'memoryMegabytes':1000},'runSeconds':3,'urgency':'urgent'}";

    private final CellHarness cell = new CellHarness();

    private void start(String jobs) {
        cell.publishBundle(jobs);
        cell.claim("vm-1");
        cell.runForSeconds(5);
    }

    /** Has the only task ordered on a worker that leaves the call to start it without an answer. */
    private String orderWithoutAnswer() {
        start("");
        // The leader takes nothing itself, so that its worker's agent may start again.
        cell.setLeaving("vm-1");
        cell.runForSeconds(2);
        holdStarts(true);
        cell.publishBundle(ONE);
        while (holder() == null || cell.getWorkerPort(holder()).countDelayedCalls() == 0) {
            cell.step();
        }
        return holder();
    }

    private void holdStarts(boolean holds) {
        for (int i = 1; i <= 3; i++) {
            cell.getWorkerPort("vm-" + i).setDelayingStarts(holds);
        }
    }

    private void beatAll() {
        for (int i = 1; i <= 3; i++) {
            cell.sendHeartbeat("vm-" + i);
            cell.tick("vm-" + i);
        }
    }

    private String holder() {
        TaskState task = cell.getTask(TASK);
        return task.isAssigned() ? task.worker().toString() : null;
    }

    private void assertSafe() {
        cell.checkInvariants();
        assertEquals(0, cell.getViolations(), "an attempt ran that was given up");
    }

    // -----------------------------------------------------------------------
    @Test
    void aDelayedStartIsIneffectiveAfterTheNodeLeaseExpired() {
        String vm = orderWithoutAnswer();
        cell.setReachable(vm, false);
        holdStarts(false);
        for (int i = 0; i < 40; i++) {
            cell.step();
            if (holder() == null || !holder().equals(vm)) {
                break;
            }
        }
        assertFalse(vm.equals(holder()), "given up");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertSafe();
        }
        cell.setReachable(vm, true);
        cell.runForSeconds(20);
        assertSafe();
        assertEquals(1, cell.countRunning());
    }

    @Test
    void aDelayedStartIsIneffectiveAfterACancel() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.publishBundle("");
        cell.runForSeconds(4);
        assertEquals(0, cell.countTasks(), "given up");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertSafe();
        }
    }

    @Test
    void aCancelledTaskIsNotStartedWithTheNextLease() {
        String vm = orderWithoutAnswer();
        cell.setReachable(vm, false);
        cell.publishBundle("");
        cell.runForSeconds(40);
        assertEquals(0, cell.countTasks(), "given up");
        holdStarts(false);
        cell.setReachable(vm, true);
        cell.runForSeconds(5);
        assertSafe();
        assertEquals(0, cell.countRunning());
    }

    @Test
    void anAttemptReportedAsStoppedIsNotStartedThoughTheAnswerWasLost() {
        start(LONG);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeatWithoutAnswer(vm);
        cell.setReachable(vm, false);
        cell.runForSeconds(3);
        assertTrue(cell.getTask(before.task()).attempt().isAfter(before.attempt()), "given up");
        cell.tick(vm);
        cell.setReachable(vm, true);
        cell.runForSeconds(10);
        assertSafe();
    }

    @Test
    void aDelayedStartOfAnEarlierAgentProcessIsIneffective() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.restartAgent(vm);
        cell.publishBundle("");
        cell.runForSeconds(6);
        assertEquals(0, cell.countTasks(), "given up");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertSafe();
        }
    }

    @Test
    void anAttemptStartedByAnEarlierAgentProcessIsStopped() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.restartAgent(vm);
        cell.getWorkerPort(vm).executeDelayedCall();
        cell.publishBundle("");
        cell.runForSeconds(3);
        assertEquals(0, cell.countRunning(), "stopped within a heartbeat and two ticks");
        cell.runForSeconds(3);
        assertSafe();
    }

    @Test
    void aDelayedStartOfADeadAgentEndsWithTheWorkerLease() {
        String vm = orderWithoutAnswer();
        cell.killAgent(vm);
        cell.getWorkerPort(vm).executeDelayedCall();
        assertEquals(1, cell.countRunning(vm), "the worker lease has not ended");
        cell.getClock().advance(5000);
        assertEquals(0, cell.countRunning(vm));
        holdStarts(false);
        cell.runForSeconds(40);
        assertSafe();
        assertEquals(1, cell.countRunning(), "it runs elsewhere");
    }

    @Test
    void delayedWorkerLeaseCallsKeepNoAttemptRunningPastItsRelease() {
        start(LONG);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        DelayedWorkerPort calls = cell.getWorkerPort(vm);
        cell.setReachable(vm, false);
        cell.runForSeconds(4);
        calls.setDelayingLeases(true);
        cell.runForSeconds(4);
        calls.executeDelayedCall();
        cell.runForSeconds(4);
        calls.executeDelayedCall();
        cell.runForSeconds(4);
        calls.executeDelayedCall();
        cell.runForSeconds(1);
        assertTrue(calls.countDelayedCalls() > 0, "the last comes 7 s after the node lease ended");
        calls.executeDelayedCall();
        assertTrue(cell.countRunning(vm) > 0, "the late calls kept it running");
        for (int i = 0; i < 20; i++) {
            cell.step();
            assertSafe();
        }
        assertTrue(cell.getTask(before.task()).attempt().isAfter(before.attempt()), "given up");
    }

    // -----------------------------------------------------------------------
    @Test
    void attemptsStoppedByALeavingAgentAreNotStartedByItsNextProcess() {
        start(FILL);
        String vm = "vm-3";
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        cell.getLog().delayAppends(1);
        cell.runForSeconds(1);
        cell.restartAgent(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        cell.setReachable(vm, false);
        cell.runForSeconds(3);
        assertSafe();
    }

    @Test
    void anAttemptStoppedBeforeItsStartIsNotStartedWhileItsEndIsBeingAppended() {
        start("");
        cell.publishBundle(LONG);
        for (int i = 1; i <= 3; i++) {
            cell.setReachable("vm-" + i, false);
        }
        cell.runForSeconds(1);
        cell.publishBundle(LONG + "," + URGENT);
        cell.runForSeconds(1);
        for (int i = 1; i <= 3; i++) {
            cell.setReachable("vm-" + i, true);
        }
        beatAll();
        beatAll();
        cell.getLog().delayAppends(1);
        cell.runForSeconds(1);
        for (int i = 0; i < 4; i++) {
            assertFalse(cell.isRunning("scan#" + i), "stopped before its start");
        }
        cell.setLogDown(true);
        cell.runForSeconds(6);
        cell.setLogDown(false);
        cell.runForSeconds(3);
        assertSafe();
    }

    @Test
    void aCancelledTaskAddedAgainIsNotStartedUnderItsOldAttempt() {
        start(FILL);
        cell.publishBundle("");
        cell.runForSeconds(1);
        beatAll();
        cell.getLog().delayAppends(1);
        cell.runForSeconds(1);
        cell.publishBundle(FILL);
        cell.readLog();
        beatAll();
        cell.runForSeconds(3);
        assertSafe();
    }

    @Test
    void aDelayedHeartbeatOfAnEarlierAgentProcessEndsNoAttempt() {
        start(FILL);
        String vm = "vm-3";
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeatWithoutAnswer(vm);
        Heartbeat late = cell.sendDelayedHeartbeat(vm);
        assertTrue(late.full(), "as the one before it was not answered");
        cell.restartAgent(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        assertTrue(cell.countRunning(vm) > 0, "it runs what waited there");
        cell.deliverDelayedHeartbeat();
        cell.setReachable(vm, false);
        cell.runForSeconds(3);
        assertSafe();
    }

    @Test
    void delayedHeartbeatsDoNotExtendTheLeaseOfAnOldLeader() {
        start(LONG);
        assertTrue(cell.countRunning("vm-1") > 0);
        cell.sendDelayedHeartbeat("vm-2");
        cell.sendDelayedHeartbeat("vm-3");
        cell.claim("vm-2");
        cell.setFollowsOldLeader("vm-1");
        cell.runForSeconds(17);
        cell.deliverDelayedHeartbeat();
        cell.deliverDelayedHeartbeat();
        for (int i = 0; i < 40; i++) {
            cell.step();
            assertSafe();
        }
        assertEquals(0, cell.countRunning("vm-1"));
    }

    @Test
    void anOutOfOrderHeartbeatIsRejected() {
        start(FILL);
        cell.sendDelayedHeartbeat("vm-3");
        cell.sendHeartbeat("vm-3");
        assertThrows(StandlinkException.class, cell::deliverDelayedHeartbeat);
    }
}
