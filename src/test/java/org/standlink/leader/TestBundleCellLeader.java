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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.standlink.Attempt;
import org.standlink.BundleFixtures;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.log.TaskState;

/** Tests the leader and the agents together under faults, on a fake clock. */
public class TestBundleCellLeader {

    private static final String URGENT =
            "{'id':'urgent','mode':'manage','team':'security','cell':'one','batchClass':'u','tasks':1,"
                    + "'resources':{'cores':6,'memoryMegabytes':1000},'runSeconds':60,'urgency':'urgent'}";

    private static final String LARGE =
            "{'id':'large','mode':'manage','team':'security','cell':'one','batchClass':'l','tasks':1,"
                    + "'resources':{'cores':7,'memoryMegabytes':1000}}";

    private static final String FILL = BundleFixtures.SCAN_JOB.replace("'tasks':4", "'tasks':20");

    private final CellHarness cell = new CellHarness();

    private void startCell(String jobs) {
        cell.publishBundle(jobs);
        cell.claim("vm-1");
        cell.runForSeconds(5);
    }

    @Test
    void runsTasksToCompletion() {
        startCell(BundleFixtures.SCAN_JOB);
        assertEquals(4, cell.countRunning());
        cell.runForSeconds(70);
        assertEquals(4, cell.countInPhase(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void resumesTasksOfAnUnresponsiveAgentOnce() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.setReachable(vm, false);
        cell.runForSeconds(15);
        assertEquals(
                before.attempt(),
                cell.getTask(before.task()).attempt(),
                "its leases have not expired");
        cell.runForSeconds(20);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        cell.setReachable(vm, true);
        cell.runForSeconds(10);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void neverRevokesAReleaseWhoseAppendFailed() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.setReachable(vm, false);
        cell.runForSeconds(20);
        cell.setLogDown(true);
        cell.runForSeconds(5);
        cell.setReachable(vm, true);
        cell.runForSeconds(5);
        assertTrue(cell.getTask(before.task()).isAssigned(), "the release is not in the log yet");
        assertEquals(
                0, cell.countRunning(vm), "the unresponsive agent is not assigned the task again");
        cell.setLogDown(false);
        cell.runForSeconds(10);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void continuesThroughALogOutage() {
        startCell(FILL);
        int running = cell.countRunning();
        cell.setLogDown(true);
        cell.runForSeconds(50);
        assertEquals(running, cell.countRunning(), "running tasks continue");
        cell.runForSeconds(30);
        assertTrue(cell.countRunning() > 0, "the backlog fills the workers");
        assertEquals(0, cell.getViolations());
        cell.setLogDown(false);
        cell.runForSeconds(150);
        assertEquals(20, cell.countInPhase(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void stopsAllTasksWhenTheAuthorityExpires() {
        startCell(BundleFixtures.SCAN_JOB.replace("'runSeconds':60", "'runSeconds':5000"));
        cell.setLogDown(true);
        cell.runForSeconds(650);
        assertEquals(0, cell.countRunning());
        assertThrows(StandlinkException.class, () -> cell.sendHeartbeatOrThrow("vm-2"));
    }

    @Test
    void takesOverFromAnotherLeader() {
        startCell(BundleFixtures.SCAN_JOB);
        cell.claim("vm-2");
        cell.runForSeconds(10);
        assertEquals(4, cell.countRunning());
        TaskState any = cell.findRunningTaskOn("vm-1", "vm-2", "vm-3");
        assertEquals(Attempt.of(1), any.attempt(), "nothing was restarted");
        StandlinkException refused =
                assertThrows(StandlinkException.class, () -> cell.sendHeartbeatToOldLeader("vm-3"));
        assertEquals(ErrorCode.LEASE_LAPSED, refused.getCode());
    }

    @Test
    void waitsForTheAuthorityToExpireWhenOldLeaderAndAgentAreUnresponsive() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        cell.setReachable(before.worker().toString(), false);
        cell.claim(before.worker().toString().equals("vm-2") ? "vm-3" : "vm-2");
        cell.runForSeconds(100);
        assertEquals(before.attempt(), cell.getTask(before.task()).attempt());
        cell.runForSeconds(540);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void waitsForTheAuthorityToExpireForAnAgentThatHasNotAcknowledged() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.claim(vm.equals("vm-2") ? "vm-3" : "vm-2");
        cell.sendHeartbeatWithoutAnswer(vm);
        cell.setFollowsOldLeader(vm);
        cell.runForSeconds(100);
        assertEquals(before.attempt(), cell.getTask(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void resumesTasksOfADeadLeaderBeforeItsAuthorityExpires() {
        startCell(BundleFixtures.SCAN_JOB.replace("'runSeconds':60", "'runSeconds':600"));
        TaskState before = cell.findRunningTaskOn("vm-1", "vm-2", "vm-3");
        String dead = before.worker().toString();
        cell.claim(dead);
        cell.runForSeconds(5);
        cell.setReachable(dead, false);
        cell.claim(dead.equals("vm-1") ? "vm-2" : "vm-1");
        cell.runForSeconds(20);
        assertEquals(
                before.attempt(),
                cell.getTask(before.task()).attempt(),
                "the attempt may still be running there");
        cell.runForSeconds(25);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void grantsItselfNoLeaseWhenPartitionedFromLogAndAgents() {
        startCell(BundleFixtures.SCAN_JOB.replace("'runSeconds':60", "'runSeconds':600"));
        cell.setLogDown(true);
        cell.runForSeconds(15);
        cell.sendHeartbeatOrThrow("vm-1");
        cell.setReachable("vm-2", false);
        cell.runForSeconds(15);
        assertThrows(StandlinkException.class, () -> cell.sendHeartbeatOrThrow("vm-1"));
    }

    @Test
    void keepsTasksThroughAnAgentRestart() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        cell.restartAgent(before.worker().toString());
        cell.runForSeconds(10);
        assertEquals(before.attempt(), cell.getTask(before.task()).attempt());
        assertEquals(4, cell.countRunning());
    }

    @Test
    void resumesTasksLostInAWorkerRestart() {
        startCell(BundleFixtures.SCAN_JOB);
        TaskState before = cell.findRunningTaskOn("vm-2", "vm-3");
        cell.getWorker(before.worker().toString()).restart();
        cell.runForSeconds(10);
        assertEquals(before.attempt().next(), cell.getTask(before.task()).attempt());
        assertEquals(4, cell.countRunning());
    }

    @Test
    void evictsTasksForUrgentWork() {
        startCell(FILL);
        cell.publishBundle(FILL + "," + URGENT);
        cell.runForSeconds(9);
        assertTrue(cell.isRunning("urgent#0"), "urgent tasks start within 9 s");
        assertEquals(0, cell.getViolations());
    }

    @Test
    void reportsAnUnplaceableTaskWithoutDelayingOthers() {
        startCell(LARGE + "," + BundleFixtures.SCAN_JOB);
        assertEquals(4, cell.countRunning());
        assertTrue(cell.getTaskStatus("large#0").contains("larger than every permitted worker"));
    }

    @Test
    void cancelsAJobWithAtMostTwoAppends() {
        startCell(FILL);
        cell.runForSeconds(10);
        cell.publishBundle("");
        long before = cell.getLog().getEnd();
        cell.runForSeconds(10);
        assertEquals(0, cell.countRunning());
        assertTrue(
                cell.getLog().getEnd() - before <= 2,
                "appends: " + (cell.getLog().getEnd() - before));
        assertEquals(0, cell.countTasks());
    }

    @Test
    void movesTasksAwayFromALeavingVm() {
        startCell(BundleFixtures.SCAN_JOB);
        String vm = cell.findRunningTaskOn("vm-1", "vm-2", "vm-3").worker().toString();
        cell.setLeaving(vm);
        cell.runForSeconds(8);
        assertEquals(0, cell.countRunning(vm));
        assertEquals(4, cell.countRunning());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void avoidsAWorkerThatFailsAllTasks() {
        cell.getWorker("vm-1").setFailing(true);
        startCell(
                BundleFixtures.SCAN_JOB
                        + ","
                        + BundleFixtures.SCAN_JOB.replace("'id':'scan'", "'id':'other'"));
        cell.runForSeconds(150);
        assertEquals(8, cell.countInPhase(TaskState.Phase.FINISHED));
    }

    @Test
    void recoversAfterAWorkerOutage() {
        startCell(BundleFixtures.SCAN_JOB);
        cell.getWorker("vm-2").setDown(true);
        cell.runForSeconds(3);
        cell.getWorker("vm-2").setDown(false);
        cell.runForSeconds(30);
        assertEquals(4, cell.countRunning() + cell.countInPhase(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void evictsTasksWhenAServiceIsAdded() {
        cell.publishBundle(FILL, "'vm-1'");
        cell.claim("vm-1");
        cell.runForSeconds(5);
        cell.publishBundle(FILL, "'vm-1','vm-2','vm-3'");
        cell.runForSeconds(3);
        assertTrue(cell.getGrantedMilliCores("vm-2") <= 6000);
        assertEquals(0, cell.getViolations());
    }

    @Test
    void observesWithoutActing() {
        startCell(BundleFixtures.SCAN_JOB.replace("manage", "observe"));
        assertEquals(0, cell.countRunning());
        assertTrue(cell.getTaskStatus("scan#0").contains("only observed"));
        assertNull(cell.getTask(org.standlink.TaskId.parse("scan#0")).worker());
    }
}
