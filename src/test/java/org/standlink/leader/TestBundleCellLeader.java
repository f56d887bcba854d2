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
import org.standlink.ErrorCode;
import org.standlink.Fixtures;
import org.standlink.StandlinkException;
import org.standlink.log.TaskState;

/** Tests the leader and the agents together, on a fake clock, with the faults of the brief. */
public class TestBundleCellLeader {

    private static final String URGENT =
            "{'id':'urgent','mode':'manage','team':'security','cell':'one','batchClass':'u','tasks':1,"
                    + "'resources':{'cores':6,'memoryMegabytes':1000},'runSeconds':60,'urgency':'urgent'}";

    private static final String LARGE =
            "{'id':'large','mode':'manage','team':'security','cell':'one','batchClass':'l','tasks':1,"
                    + "'resources':{'cores':7,'memoryMegabytes':1000}}";

    private static final String FILL = Fixtures.SCAN.replace("'tasks':4", "'tasks':20");

    private final TestCell cell = new TestCell();

    private void start(String jobs) {
        cell.publish(jobs);
        cell.claim("vm-1");
        cell.run(5);
    }

    @Test
    void runsTheTasksToTheirEnd() {
        start(Fixtures.SCAN);
        assertEquals(4, cell.countRunning());
        cell.run(70);
        assertEquals(4, cell.count(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void resumesOnceFromTheCheckpointAfterAnAgentIsSilent() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        String lost = before.worker().toString();
        cell.setReachable(lost, false);
        cell.run(15);
        assertEquals(
                before.attempt(), cell.task(before.task()).attempt(), "its leases have not ended");
        cell.run(20);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        cell.setReachable(lost, true);
        cell.run(10);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void neverTakesBackAReleaseWhoseAppendWasLost() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        String lost = before.worker().toString();
        cell.setReachable(lost, false);
        cell.run(20);
        cell.setLogDown(true);
        cell.run(5);
        cell.setReachable(lost, true);
        cell.run(5);
        assertTrue(cell.task(before.task()).isAssigned(), "the release is not in the log yet");
        assertEquals(0, cell.countRunning(lost), "the silent agent does not get it back");
        cell.setLogDown(false);
        cell.run(10);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void goesOnThroughAnOutageOfTheLog() {
        start(FILL);
        int running = cell.countRunning();
        cell.setLogDown(true);
        cell.run(50);
        assertEquals(running, cell.countRunning(), "running work goes on");
        cell.run(30);
        assertTrue(cell.countRunning() > 0, "the backlog fills the workers");
        assertEquals(0, cell.getViolations());
        cell.setLogDown(false);
        cell.run(150);
        assertEquals(20, cell.count(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void stopsEverythingWhenTheAuthorityEnds() {
        start(Fixtures.SCAN.replace("'runSeconds':60", "'runSeconds':5000"));
        cell.setLogDown(true);
        cell.run(650);
        assertEquals(0, cell.countRunning());
        assertThrows(StandlinkException.class, () -> cell.heartbeatOrThrow("vm-2"));
    }

    @Test
    void takesOverFromAnotherLeader() {
        start(Fixtures.SCAN);
        cell.claim("vm-2");
        cell.run(10);
        assertEquals(4, cell.countRunning());
        TaskState any = cell.firstOn("vm-1", "vm-2", "vm-3");
        assertEquals(Attempt.of(1), any.attempt(), "nothing was restarted");
        StandlinkException refused =
                assertThrows(StandlinkException.class, () -> cell.heartbeatOldLeader("vm-3"));
        assertEquals(ErrorCode.LEASE_LAPSED, refused.getCode());
    }

    @Test
    void waitsOutTheAuthorityWhenLeaderAndAgentAreBothSilent() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        cell.setReachable(before.worker().toString(), false);
        cell.claim(before.worker().toString().equals("vm-2") ? "vm-3" : "vm-2");
        cell.run(100);
        assertEquals(before.attempt(), cell.task(before.task()).attempt());
        cell.run(540);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void waitsOutTheAuthorityForAnAgentThatHasNotAcknowledged() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        String vm = before.worker().toString();
        cell.claim(vm.equals("vm-2") ? "vm-3" : "vm-2");
        cell.loseAnswer(vm);
        cell.setFollowsOldLeader(vm);
        cell.run(100);
        assertEquals(before.attempt(), cell.task(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void resumesTheTasksOfADeadLeaderWithoutWaitingOutItsAuthority() {
        start(Fixtures.SCAN.replace("'runSeconds':60", "'runSeconds':600"));
        TaskState before = cell.firstOn("vm-1", "vm-2", "vm-3");
        String dead = before.worker().toString();
        cell.claim(dead);
        cell.run(5);
        cell.setReachable(dead, false);
        cell.claim(dead.equals("vm-1") ? "vm-2" : "vm-1");
        cell.run(20);
        assertEquals(
                before.attempt(), cell.task(before.task()).attempt(), "it may still run there");
        cell.run(25);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void stopsServingItselfWhenCutFromLogAndAgents() {
        start(Fixtures.SCAN.replace("'runSeconds':60", "'runSeconds':600"));
        cell.setLogDown(true);
        cell.run(15);
        cell.heartbeatOrThrow("vm-1");
        cell.setReachable("vm-2", false);
        cell.run(15);
        assertThrows(StandlinkException.class, () -> cell.heartbeatOrThrow("vm-1"));
    }

    @Test
    void keepsTasksThroughARestartOfTheAgent() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        cell.restartAgent(before.worker().toString());
        cell.run(10);
        assertEquals(before.attempt(), cell.task(before.task()).attempt());
        assertEquals(4, cell.countRunning());
    }

    @Test
    void resumesWhatARestartedWorkerHasForgotten() {
        start(Fixtures.SCAN);
        TaskState before = cell.firstOn("vm-2", "vm-3");
        cell.worker(before.worker().toString()).restart();
        cell.run(10);
        assertEquals(before.attempt().next(), cell.task(before.task()).attempt());
        assertEquals(4, cell.countRunning());
    }

    @Test
    void makesRoomForUrgentWork() {
        start(FILL);
        cell.publish(FILL + "," + URGENT);
        cell.run(9);
        assertTrue(cell.isRunning("urgent#0"), "urgent work starts within 9 s");
        assertEquals(0, cell.getViolations());
    }

    @Test
    void namesWhatCanNeverRunAndHoldsNobodyBack() {
        start(LARGE + "," + Fixtures.SCAN);
        assertEquals(4, cell.countRunning());
        assertTrue(cell.waitingReason("large#0").contains("larger than every permitted worker"));
    }

    @Test
    void cancelsAWaveWithOneAppend() {
        start(FILL);
        cell.run(10);
        cell.publish("");
        long before = cell.getLog().getEnd();
        cell.run(10);
        assertEquals(0, cell.countRunning());
        assertTrue(
                cell.getLog().getEnd() - before <= 2,
                "appends: " + (cell.getLog().getEnd() - before));
        assertEquals(0, cell.countFolded());
    }

    @Test
    void handsTasksBackWhenAVmLeaves() {
        start(Fixtures.SCAN);
        String vm = cell.firstOn("vm-1", "vm-2", "vm-3").worker().toString();
        cell.setLeaving(vm);
        cell.run(8);
        assertEquals(0, cell.countRunning(vm));
        assertEquals(4, cell.countRunning());
        assertEquals(0, cell.getViolations());
    }

    @Test
    void setsAsideAWorkerThatFailsEverything() {
        cell.worker("vm-1").setFailing(true);
        start(Fixtures.SCAN + "," + Fixtures.SCAN.replace("'id':'scan'", "'id':'other'"));
        cell.run(150);
        assertEquals(8, cell.count(TaskState.Phase.FINISHED));
    }

    @Test
    void goesOnAfterAWorkerWasDown() {
        start(Fixtures.SCAN);
        cell.worker("vm-2").setDown(true);
        cell.run(3);
        cell.worker("vm-2").setDown(false);
        cell.run(30);
        assertEquals(4, cell.countRunning() + cell.count(TaskState.Phase.FINISHED));
        assertEquals(0, cell.getViolations());
    }

    @Test
    void shedsTasksWhenAServiceMovesIn() {
        cell.publish(FILL, "'vm-1'");
        cell.claim("vm-1");
        cell.run(5);
        cell.publish(FILL, "'vm-1','vm-2','vm-3'");
        cell.run(3);
        assertTrue(cell.grantedMilliCores("vm-2") <= 6000);
        assertEquals(0, cell.getViolations());
    }

    @Test
    void observesWithoutActing() {
        start(Fixtures.SCAN.replace("manage", "observe"));
        assertEquals(0, cell.countRunning());
        assertTrue(cell.waitingReason("scan#0").contains("only observed"));
        assertNull(cell.task(org.standlink.TaskId.parse("scan#0")).worker());
    }
}
