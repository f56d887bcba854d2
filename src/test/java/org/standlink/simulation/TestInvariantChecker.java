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
package org.standlink.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.standlink.HallId;
import org.standlink.Resources;
import org.standlink.job.EvacuationChange;
import org.standlink.job.RunEndKind;
import org.standlink.job.RunId;
import org.standlink.job.TaskName;
import org.standlink.job.WorkerIncarnation;

/** Tests that what breaks a rule is found, and that the rules' exceptions are heeded. */
public class TestInvariantChecker {

    private static final TaskName TASK = TaskName.parse("aaaaaaaaaaaaaaaa.0.0.0");
    private static final RunId FIRST = new RunId(TASK, 1);
    private static final RunId SECOND = new RunId(TASK, 2);

    private final SimulationEnvironment world = new SimulationEnvironment();
    private final InvariantChecker referee = new InvariantChecker(world);
    private final SimulatedWorker one = life("i-1");
    private final SimulatedWorker two = life("i-2");

    private SimulatedWorker life(String id) {
        return new SimulatedWorker(
                world,
                referee,
                WorkerIncarnation.parse(id + "@1000"),
                HallId.parse("h"),
                new Resources(1000, 1000, 0),
                false);
    }

    private void assertFound(String... kinds) {
        List<String> found = referee.finish();
        assertEquals(kinds.length, found.size(), found::toString);
        for (int i = 0; i < kinds.length; i++) {
            assertTrue(found.get(i).contains(kinds[i]), found::toString);
        }
    }

    @Test
    public void twoRunsOfATaskAtOnceAreFound() {
        referee.recordStart(one, FIRST, false);
        referee.recordStart(two, SECOND, false);
        assertFound("TWICE");
    }

    @Test
    public void oneRunOnTwoWorkersIsFound() {
        referee.recordStart(one, FIRST, false);
        referee.recordStart(two, FIRST, false);
        assertFound("TWICE");
    }

    @Test
    public void aRunAfterOneLostWithItsWorkerIsAllowed() {
        referee.recordStart(one, FIRST, false);
        referee.recordLostRun(one, FIRST);
        referee.recordStart(two, SECOND, false);
        assertFound();
    }

    @Test
    public void theThirdStartOfATaskAfterThreeCrashesUnderItIsFound() {
        for (int number = 1; number <= 5; number++) {
            begunAndCrashed(number);
        }
        assertFound();
        begunAndCrashed(6);
        assertFound("CRASHES");
    }

    private void begunAndCrashed(int number) {
        RunId run = new RunId(TASK, number);
        referee.recordStart(one, run, false);
        referee.recordCrash(TASK);
        referee.recordLostRun(one, run);
    }

    @Test
    public void aStartInAnEvacuatedHallIsFoundAfterTheTimeToReadTheRequest() {
        referee.evacuationAcknowledged(new EvacuationChange(one.getHall(), true));
        world.runUntil(2500);
        referee.recordStart(one, FIRST, false);
        assertFound();
        referee.recordLostRun(one, FIRST);
        world.runUntil(2600);
        referee.recordStart(one, SECOND, true);
        assertFound();
        referee.recordLostRun(one, SECOND);
        referee.recordStart(one, new RunId(TASK, 3), false);
        assertFound("EVAC");
        referee.recordLostRun(one, new RunId(TASK, 3));
        referee.evacuationAcknowledged(new EvacuationChange(one.getHall(), false));
        referee.recordStart(one, new RunId(TASK, 4), false);
        assertFound("EVAC");
    }

    @Test
    public void aStartAfterASuccessfulEndThatIsRecordedLaterIsFound() {
        endWellAndBeginAgain();
        referee.recordPersistedEnds(one, 1);
        assertFound("AGAIN");
    }

    @Test
    public void aStartAfterASuccessfulEndThatIsNeverRecordedIsAllowed() {
        endWellAndBeginAgain();
        assertFound();
    }

    @Test
    public void aSuccessfulEndIsIgnoredOnceTheLeaseHasExpired() {
        endWellAndBeginAgain();
        referee.recordLapse(one);
        referee.recordPersistedEnds(one, 1);
        assertFound();
    }

    private void endWellAndBeginAgain() {
        referee.recordStart(one, FIRST, false);
        world.runUntil(100);
        referee.recordEnd(one, FIRST, RunEndKind.DONE, 1);
        world.runUntil(200);
        referee.recordStart(two, SECOND, false);
    }

    @Test
    public void aRunStartedLongAfterTheCancelIsFound() {
        referee.cancelAcknowledged(TASK.job());
        world.runUntil(3200);
        referee.recordStart(one, FIRST, false);
        assertFound("UNASKED");
    }

    @Test
    public void aRunStartedSoonAfterTheCancelIsAllowed() {
        referee.cancelAcknowledged(TASK.job());
        world.runUntil(2900);
        referee.recordStart(one, FIRST, false);
        world.runUntil(3300);
        referee.recordEnd(one, FIRST, RunEndKind.STOPPED, 1);
        world.runUntil(9000);
        assertFound();
    }

    @Test
    public void aRunStillRunningLongAfterTheCancelIsFoundOnce() {
        referee.recordStart(one, FIRST, false);
        referee.cancelAcknowledged(TASK.job());
        world.runUntil(9000);
        assertFound("UNASKED");
    }

    @Test
    public void anImpairmentExtendsTheTimeToStopACancelledJob() {
        referee.recordStart(one, FIRST, false);
        referee.cancelAcknowledged(TASK.job());
        referee.recordImpairment(4000);
        world.runUntil(6900);
        assertFound();
        world.runUntil(7200);
        assertFound("UNASKED");
    }

    @Test
    public void aDelayedStartExtendsTheTimeToStopACancelledJob() {
        referee.cancelAcknowledged(TASK.job());
        world.runUntil(5000);
        referee.recordStart(one, FIRST, true);
        world.runUntil(7900);
        assertFound();
        world.runUntil(8200);
        assertFound("UNASKED");
    }

    @Test
    public void aWorkerOverItsCapacityIsFound() {
        referee.checkCapacity(
                one, new Resources(1000, 100, 0), new Resources(1000, 1000, 0), FIRST);
        assertFound();
        referee.checkCapacity(
                one, new Resources(2000, 200, 0), new Resources(1000, 1000, 0), SECOND);
        assertFound("ROOM");
    }
}
