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
public class TestGivenUpAttempts {

    private static final TaskId TASK = TaskId.parse("scan#0");

    private static final String LONG =
            Fixtures.SCAN.replace("'runSeconds':60", "'runSeconds':5000");

    private static final String ONE = LONG.replace("'tasks':4", "'tasks':1");

    private static final String FILL = LONG.replace("'tasks':4", "'tasks':20");

    private static final String URGENT =
            "{'id':'urgent','mode':'manage','team':'security','cell':'one','batchClass':'u','tasks':3,"
                    + "'resources':{'cores':6,'memoryMegabytes':1000},'runSeconds':3,'urgency':'urgent'}";

    private final TestCell cell = new TestCell();

    private void start(String jobs) {
        cell.publish(jobs);
        cell.claim("vm-1");
        cell.run(5);
    }

    /** Has the only task ordered on a worker that leaves the call to start it without an answer. */
    private String orderWithoutAnswer() {
        start("");
        // The leader takes nothing itself, so that its worker's agent may start again.
        cell.setLeaving("vm-1");
        cell.run(2);
        holdStarts(true);
        cell.publish(ONE);
        while (holder() == null || cell.calls(holder()).countLate() == 0) {
            cell.step();
        }
        return holder();
    }

    private void holdStarts(boolean holds) {
        for (int i = 1; i <= 3; i++) {
            cell.calls("vm-" + i).holdStarts(holds);
        }
    }

    private void beatAll() {
        for (int i = 1; i <= 3; i++) {
            cell.beat("vm-" + i);
            cell.tick("vm-" + i);
        }
    }

    private String holder() {
        TaskState task = cell.task(TASK);
        return task.isAssigned() ? task.worker().toString() : null;
    }

    private void assertSafe() {
        cell.check();
        assertEquals(0, cell.getViolations(), "an attempt ran that was given up");
    }

    // -----------------------------------------------------------------------
    @Test
    void aStartCarriedOutAfterTheNodeLeaseStartsNothing() {
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
        while (cell.calls(vm).countLate() > 0) {
            cell.calls(vm).carryOutLate();
            assertSafe();
        }
        cell.setReachable(vm, true);
        cell.run(20);
        assertSafe();
        assertEquals(1, cell.countRunning());
    }

    @Test
    void aStartCarriedOutAfterItsCancelStartsNothing() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.publish("");
        cell.run(4);
        assertEquals(0, cell.countFolded(), "given up");
        while (cell.calls(vm).countLate() > 0) {
            cell.calls(vm).carryOutLate();
            assertSafe();
        }
    }

    @Test
    void aCancelledTaskIsNotStartedWithTheNextLease() {
        String vm = orderWithoutAnswer();
        cell.setReachable(vm, false);
        cell.publish("");
        cell.run(40);
        assertEquals(0, cell.countFolded(), "given up");
        holdStarts(false);
        cell.setReachable(vm, true);
        cell.run(5);
        assertSafe();
        assertEquals(0, cell.countRunning());
    }

    @Test
    void aReportWhoseAnswerWasLostBindsTheAgent() {
        start(LONG);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.loseAnswer(vm);
        cell.setReachable(vm, false);
        cell.run(3);
        assertTrue(cell.task(before.task()).attempt().isAfter(before.attempt()), "given up");
        cell.tick(vm);
        cell.setReachable(vm, true);
        cell.run(10);
        assertSafe();
    }

    @Test
    void aStartOfAnEarlierRunOfTheAgentStartsNothing() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.restartAgent(vm);
        cell.publish("");
        cell.run(6);
        assertEquals(0, cell.countFolded(), "given up");
        while (cell.calls(vm).countLate() > 0) {
            cell.calls(vm).carryOutLate();
            assertSafe();
        }
    }

    @Test
    void aStartOfAnEarlierRunOfTheAgentIsFoundWhenItCameFirst() {
        String vm = orderWithoutAnswer();
        holdStarts(false);
        cell.restartAgent(vm);
        cell.calls(vm).carryOutLate();
        cell.publish("");
        cell.run(3);
        assertEquals(0, cell.countRunning(), "stopped within a heartbeat and two ticks");
        cell.run(3);
        assertSafe();
    }

    @Test
    void aLateStartWhoseAgentIsGoneEndsWithTheWorkerLease() {
        String vm = orderWithoutAnswer();
        cell.killAgent(vm);
        cell.calls(vm).carryOutLate();
        assertEquals(1, cell.countRunning(vm), "the worker lease has not ended");
        cell.getClock().advance(5000);
        assertEquals(0, cell.countRunning(vm));
        holdStarts(false);
        cell.run(40);
        assertSafe();
        assertEquals(1, cell.countRunning(), "it runs elsewhere");
    }

    @Test
    void lateCallsForTheWorkerLeaseKeepNothingRunningPastTheWait() {
        start(LONG);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        LateWorker calls = cell.calls(vm);
        cell.setReachable(vm, false);
        cell.run(4);
        calls.holdLeases(true);
        cell.run(4);
        calls.carryOutLate();
        cell.run(4);
        calls.carryOutLate();
        cell.run(4);
        calls.carryOutLate();
        cell.run(1);
        assertTrue(calls.countLate() > 0, "the last comes 7 s after the node lease ended");
        calls.carryOutLate();
        assertTrue(cell.countRunning(vm) > 0, "the late calls kept it running");
        for (int i = 0; i < 20; i++) {
            cell.step();
            assertSafe();
        }
        assertTrue(cell.task(before.task()).attempt().isAfter(before.attempt()), "given up");
    }

    // -----------------------------------------------------------------------
    @Test
    void whatALeavingAgentGaveBackIsNotHandedToItsNextRun() {
        start(FILL);
        String vm = "vm-3";
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.beat(vm);
        cell.tick(vm);
        cell.getLog().delayAppends(1);
        cell.run(1);
        cell.restartAgent(vm);
        cell.beat(vm);
        cell.tick(vm);
        cell.beat(vm);
        cell.tick(vm);
        cell.setReachable(vm, false);
        cell.run(3);
        assertSafe();
    }

    @Test
    void anAttemptStoppedBeforeItsStartIsNotStartedWhileItsEndIsOnItsWay() {
        start("");
        cell.publish(LONG);
        for (int i = 1; i <= 3; i++) {
            cell.setReachable("vm-" + i, false);
        }
        cell.run(1);
        cell.publish(LONG + "," + URGENT);
        cell.run(1);
        for (int i = 1; i <= 3; i++) {
            cell.setReachable("vm-" + i, true);
        }
        beatAll();
        beatAll();
        cell.getLog().delayAppends(1);
        cell.run(1);
        for (int i = 0; i < 4; i++) {
            assertFalse(cell.isRunning("scan#" + i), "stopped before its start");
        }
        cell.setLogDown(true);
        cell.run(6);
        cell.setLogDown(false);
        cell.run(3);
        assertSafe();
    }

    @Test
    void aCancelledTaskAddedAgainIsNotStartedAgainUnderItsOldAttempt() {
        start(FILL);
        cell.publish("");
        cell.run(1);
        beatAll();
        cell.getLog().delayAppends(1);
        cell.run(1);
        cell.publish(FILL);
        cell.readLog();
        beatAll();
        cell.run(3);
        assertSafe();
    }

    @Test
    void aHeartbeatOfAnEarlierRunOfTheAgentIsNotBelieved() {
        start(FILL);
        String vm = "vm-3";
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.loseAnswer(vm);
        Heartbeat late = cell.sendLate(vm);
        assertTrue(late.full(), "as the one before it was not answered");
        cell.restartAgent(vm);
        cell.beat(vm);
        cell.tick(vm);
        cell.beat(vm);
        cell.tick(vm);
        assertTrue(cell.countRunning(vm) > 0, "it runs what waited there");
        cell.deliverLate();
        cell.setReachable(vm, false);
        cell.run(3);
        assertSafe();
    }

    @Test
    void anOldLeaderIsNotKeptServingItselfByLateHeartbeats() {
        start(LONG);
        assertTrue(cell.countRunning("vm-1") > 0);
        cell.sendLate("vm-2");
        cell.sendLate("vm-3");
        cell.claim("vm-2");
        cell.setFollowsOldLeader("vm-1");
        cell.run(17);
        cell.deliverLate();
        cell.deliverLate();
        for (int i = 0; i < 40; i++) {
            cell.step();
            assertSafe();
        }
        assertEquals(0, cell.countRunning("vm-1"));
    }

    @Test
    void anOlderHeartbeatOfTheSameRunIsRefused() {
        start(FILL);
        cell.sendLate("vm-3");
        cell.beat("vm-3");
        assertThrows(StandlinkException.class, cell::deliverLate);
    }
}
