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
        referee.begun(one, FIRST, false);
        referee.begun(two, SECOND, false);
        assertFound("TWICE");
    }

    @Test
    public void oneRunOnTwoWorkersIsFound() {
        referee.begun(one, FIRST, false);
        referee.begun(two, FIRST, false);
        assertFound("TWICE");
    }

    @Test
    public void aRunAfterOneThatDiedWithItsWorkerIsRight() {
        referee.begun(one, FIRST, false);
        referee.died(one, FIRST);
        referee.begun(two, SECOND, false);
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
        referee.begun(one, run, false);
        referee.crashedUnder(TASK);
        referee.died(one, run);
    }

    @Test
    public void aStartInAnEvacuatedHallIsFoundAfterTheTimeToReadOfItUntilItIsTakenBack() {
        referee.evacuationAcknowledged(new EvacuationChange(one.getHall(), true));
        world.playUntil(2500);
        referee.begun(one, FIRST, false);
        assertFound();
        referee.died(one, FIRST);
        world.playUntil(2600);
        referee.begun(one, SECOND, true);
        assertFound();
        referee.died(one, SECOND);
        referee.begun(one, new RunId(TASK, 3), false);
        assertFound("EVAC");
        referee.died(one, new RunId(TASK, 3));
        referee.evacuationAcknowledged(new EvacuationChange(one.getHall(), false));
        referee.begun(one, new RunId(TASK, 4), false);
        assertFound("EVAC");
    }

    @Test
    public void aStartAfterAGoodEndThatIsRecordedLaterIsFound() {
        endWellAndBeginAgain();
        referee.recorded(one, 1);
        assertFound("AGAIN");
    }

    @Test
    public void aStartAfterAGoodEndThatIsNeverRecordedIsRight() {
        endWellAndBeginAgain();
        assertFound();
    }

    @Test
    public void aGoodEndCountsForNothingOnceTheHoldHasRunOut() {
        endWellAndBeginAgain();
        referee.lapsed(one);
        referee.recorded(one, 1);
        assertFound();
    }

    private void endWellAndBeginAgain() {
        referee.begun(one, FIRST, false);
        world.playUntil(100);
        referee.over(one, FIRST, RunEndKind.DONE, 1);
        world.playUntil(200);
        referee.begun(two, SECOND, false);
    }

    @Test
    public void aRunThatBeginsLongAfterTheCancelIsFound() {
        referee.cancelAcknowledged(TASK.job());
        world.playUntil(3200);
        referee.begun(one, FIRST, false);
        assertFound("UNASKED");
    }

    @Test
    public void aRunThatBeginsSoonAfterTheCancelIsRight() {
        referee.cancelAcknowledged(TASK.job());
        world.playUntil(2900);
        referee.begun(one, FIRST, false);
        world.playUntil(3300);
        referee.over(one, FIRST, RunEndKind.STOPPED, 1);
        world.playUntil(9000);
        assertFound();
    }

    @Test
    public void aRunAtWorkLongAfterTheCancelIsFoundOnce() {
        referee.begun(one, FIRST, false);
        referee.cancelAcknowledged(TASK.job());
        world.playUntil(9000);
        assertFound("UNASKED");
    }

    @Test
    public void anImpairmentExcusesARunOfACancelledJobForAWhile() {
        referee.begun(one, FIRST, false);
        referee.cancelAcknowledged(TASK.job());
        referee.impaired(4000);
        world.playUntil(6900);
        assertFound();
        world.playUntil(7200);
        assertFound("UNASKED");
    }

    @Test
    public void aRunThatIsBegunLateCountsFromItsBeginning() {
        referee.cancelAcknowledged(TASK.job());
        world.playUntil(5000);
        referee.begun(one, FIRST, true);
        world.playUntil(7900);
        assertFound();
        world.playUntil(8200);
        assertFound("UNASKED");
    }

    @Test
    public void aWorkerOverItsRoomIsFound() {
        referee.room(one, new Resources(1000, 100, 0), new Resources(1000, 1000, 0), FIRST);
        assertFound();
        referee.room(one, new Resources(2000, 200, 0), new Resources(1000, 1000, 0), SECOND);
        assertFound("ROOM");
    }
}
