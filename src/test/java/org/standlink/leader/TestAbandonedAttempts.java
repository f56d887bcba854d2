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
import org.standlink.BundleFixtures;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.log.TaskState;
import org.standlink.wire.Heartbeat;

/**
 * Tests that an attempt which the leader has abandoned is not started afterwards.
 *
 * <p>Otherwise one task runs in two places: an agent starts an attempt after the leader has
 * assigned the task to another worker. This happens if the start order outlives the lease or the
 * authority under which it was given, that is, if an abandoned attempt is still sent to its agent,
 * or if the leader accepts an agent's report about an earlier lease. After each tick the harness
 * compares what is running with the log and counts a violation for each attempt that is not
 * assigned to the worker that runs it.
 */
public class TestAbandonedAttempts {

    private static final TaskId TASK = TaskId.parse("scan#0");

    private static final String LONG =
            BundleFixtures.SCAN_JOB.replace("'runSeconds':60", "'runSeconds':5000");

    private static final String ONE = LONG.replace("'tasks':4", "'tasks':1");

    private static final String FILL = LONG.replace("'tasks':4", "'tasks':20");

    private static final String URGENT =
            "{'id':'urgent','mode':'manage','team':'security','cell':'one','batchClass':'u','tasks':3,"
                    + "'resources':{'cores':6,'memoryMegabytes':1000},'runSeconds':3,'urgency':'urgent'}";

    private final CellHarness cell = new CellHarness();

    private void startCell(String jobs) {
        cell.publishBundle(jobs);
        cell.claim("vm-1");
        cell.runForSeconds(5);
    }

    /** Assigns the only task to a worker that does not answer the call to start it. */
    private String assignWithDelayedStart() {
        startCell("");
        // The leader's VM accepts no tasks, so that the task's agent can be restarted without it.
        cell.setLeaving("vm-1");
        cell.runForSeconds(2);
        delayStarts(true);
        cell.publishBundle(ONE);
        while (getAssignedVm() == null
                || cell.getWorkerPort(getAssignedVm()).countDelayedCalls() == 0) {
            cell.step();
        }
        return getAssignedVm();
    }

    private void delayStarts(boolean delaying) {
        for (int i = 1; i <= 3; i++) {
            cell.getWorkerPort("vm-" + i).setDelayingStarts(delaying);
        }
    }

    private void sendAllHeartbeats() {
        for (int i = 1; i <= 3; i++) {
            cell.sendHeartbeat("vm-" + i);
            cell.tick("vm-" + i);
        }
    }

    private String getAssignedVm() {
        TaskState task = cell.getTask(TASK);
        return task.isAssigned() ? task.worker().toString() : null;
    }

    private void assertNoViolation() {
        cell.checkInvariants();
        assertEquals(0, cell.getViolations(), "an abandoned attempt was running");
    }

    // -----------------------------------------------------------------------
    @Test
    void aDelayedStartIsIneffectiveAfterTheNodeLeaseExpired() {
        String vm = assignWithDelayedStart();
        cell.setReachable(vm, false);
        delayStarts(false);
        for (int i = 0; i < 40; i++) {
            cell.step();
            if (getAssignedVm() == null || !getAssignedVm().equals(vm)) {
                break;
            }
        }
        assertFalse(vm.equals(getAssignedVm()), "the attempt is abandoned");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertNoViolation();
        }
        cell.setReachable(vm, true);
        cell.runForSeconds(20);
        assertNoViolation();
        assertEquals(1, cell.countRunning());
    }

    @Test
    void aDelayedStartIsIneffectiveAfterACancel() {
        String vm = assignWithDelayedStart();
        delayStarts(false);
        cell.publishBundle("");
        cell.runForSeconds(4);
        assertEquals(0, cell.countTasks(), "the attempt is abandoned");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertNoViolation();
        }
    }

    @Test
    void aCancelledTaskIsNotStartedWithTheNextLease() {
        String vm = assignWithDelayedStart();
        cell.setReachable(vm, false);
        cell.publishBundle("");
        cell.runForSeconds(40);
        assertEquals(0, cell.countTasks(), "the attempt is abandoned");
        delayStarts(false);
        cell.setReachable(vm, true);
        cell.runForSeconds(5);
        assertNoViolation();
        assertEquals(0, cell.countRunning());
    }

    @Test
    void anAttemptReportedAsStoppedIsNotStartedThoughTheAnswerWasLost() {
        startCell(LONG);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeatWithoutAnswer(vm);
        cell.setReachable(vm, false);
        cell.runForSeconds(3);
        assertTrue(
                cell.getTask(before.task()).attempt().isAfter(before.attempt()),
                "the attempt is abandoned");
        cell.tick(vm);
        cell.setReachable(vm, true);
        cell.runForSeconds(10);
        assertNoViolation();
    }

    @Test
    void aDelayedStartOfAnEarlierAgentProcessIsIneffective() {
        String vm = assignWithDelayedStart();
        delayStarts(false);
        cell.restartAgent(vm);
        cell.publishBundle("");
        cell.runForSeconds(6);
        assertEquals(0, cell.countTasks(), "the attempt is abandoned");
        while (cell.getWorkerPort(vm).countDelayedCalls() > 0) {
            cell.getWorkerPort(vm).executeDelayedCall();
            assertNoViolation();
        }
    }

    @Test
    void anAttemptStartedByAnEarlierAgentProcessIsStopped() {
        String vm = assignWithDelayedStart();
        delayStarts(false);
        cell.restartAgent(vm);
        cell.getWorkerPort(vm).executeDelayedCall();
        cell.publishBundle("");
        cell.runForSeconds(3);
        assertEquals(
                0, cell.countRunning(), "the attempt is stopped within a heartbeat and two ticks");
        cell.runForSeconds(3);
        assertNoViolation();
    }

    @Test
    void aDelayedStartOfADeadAgentEndsWithTheWorkerLease() {
        String vm = assignWithDelayedStart();
        cell.killAgent(vm);
        cell.getWorkerPort(vm).executeDelayedCall();
        assertEquals(1, cell.countRunning(vm), "the worker lease has not expired");
        cell.getClock().advance(5000);
        assertEquals(0, cell.countRunning(vm));
        delayStarts(false);
        cell.runForSeconds(40);
        assertNoViolation();
        assertEquals(1, cell.countRunning(), "the task runs on another worker");
    }

    @Test
    void delayedWorkerLeaseCallsKeepNoAttemptRunningPastItsRelease() {
        startCell(LONG);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        DelayedWorkerPort workerPort = cell.getWorkerPort(vm);
        cell.setReachable(vm, false);
        cell.runForSeconds(4);
        workerPort.setDelayingLeases(true);
        cell.runForSeconds(4);
        workerPort.executeDelayedCall();
        cell.runForSeconds(4);
        workerPort.executeDelayedCall();
        cell.runForSeconds(4);
        workerPort.executeDelayedCall();
        cell.runForSeconds(1);
        assertTrue(
                workerPort.countDelayedCalls() > 0,
                "the last call is executed 7 s after the node lease expired");
        workerPort.executeDelayedCall();
        assertTrue(cell.countRunning(vm) > 0, "the delayed calls kept the attempt running");
        for (int i = 0; i < 20; i++) {
            cell.step();
            assertNoViolation();
        }
        assertTrue(
                cell.getTask(before.task()).attempt().isAfter(before.attempt()),
                "the attempt is abandoned");
    }

    // -----------------------------------------------------------------------
    @Test
    void attemptsStoppedByALeavingAgentAreNotStartedByItsNextProcess() {
        startCell(FILL);
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
        assertNoViolation();
    }

    @Test
    void anAttemptStoppedBeforeItsStartIsNotStartedWhileItsEndIsBeingAppended() {
        startCell("");
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
        sendAllHeartbeats();
        sendAllHeartbeats();
        cell.getLog().delayAppends(1);
        cell.runForSeconds(1);
        for (int i = 0; i < 4; i++) {
            assertFalse(cell.isRunning("scan#" + i), "the attempt was stopped before its start");
        }
        cell.setLogDown(true);
        cell.runForSeconds(6);
        cell.setLogDown(false);
        cell.runForSeconds(3);
        assertNoViolation();
    }

    @Test
    void aCancelledTaskAddedAgainIsNotStartedUnderItsOldAttempt() {
        startCell(FILL);
        cell.publishBundle("");
        cell.runForSeconds(1);
        sendAllHeartbeats();
        cell.getLog().delayAppends(1);
        cell.runForSeconds(1);
        cell.publishBundle(FILL);
        cell.readLog();
        sendAllHeartbeats();
        cell.runForSeconds(3);
        assertNoViolation();
    }

    @Test
    void aDelayedHeartbeatOfAnEarlierAgentProcessEndsNoAttempt() {
        startCell(FILL);
        String vm = "vm-3";
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeatWithoutAnswer(vm);
        Heartbeat delayed = cell.sendDelayedHeartbeat(vm);
        assertTrue(delayed.full(), "the previous heartbeat was not answered");
        cell.restartAgent(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        cell.sendHeartbeat(vm);
        cell.tick(vm);
        assertTrue(cell.countRunning(vm) > 0, "the tasks queued there are running");
        cell.deliverDelayedHeartbeat();
        cell.setReachable(vm, false);
        cell.runForSeconds(3);
        assertNoViolation();
    }

    @Test
    void delayedHeartbeatsDoNotExtendTheLeaseOfAnOldLeader() {
        startCell(LONG);
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
            assertNoViolation();
        }
        assertEquals(0, cell.countRunning("vm-1"));
    }

    @Test
    void anOutOfOrderHeartbeatIsRejected() {
        startCell(FILL);
        cell.sendDelayedHeartbeat("vm-3");
        cell.sendHeartbeat("vm-3");
        assertThrows(StandlinkException.class, cell::deliverDelayedHeartbeat);
    }
}
