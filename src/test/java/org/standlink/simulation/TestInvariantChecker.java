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

/** Tests that violations are found, and that what the invariants allow is not reported. */
public class TestInvariantChecker {

    private static final TaskName TASK = TaskName.parse("aaaaaaaaaaaaaaaa.0.0.0");
    private static final RunId FIRST = new RunId(TASK, 1);
    private static final RunId SECOND = new RunId(TASK, 2);

    private final SimulationEnvironment environment = new SimulationEnvironment();
    private final InvariantChecker checker = new InvariantChecker(environment);
    private final SimulatedWorker firstWorker = newWorker("i-1");
    private final SimulatedWorker secondWorker = newWorker("i-2");

    private SimulatedWorker newWorker(String id) {
        return new SimulatedWorker(
                environment,
                checker,
                WorkerIncarnation.parse(id + "@1000"),
                HallId.parse("h"),
                new Resources(1000, 1000, 0),
                false);
    }

    private void assertFound(String... kinds) {
        List<String> violations = checker.finish();
        assertEquals(kinds.length, violations.size(), violations::toString);
        for (int i = 0; i < kinds.length; i++) {
            assertTrue(violations.get(i).contains(kinds[i]), violations::toString);
        }
    }

    @Test
    public void twoRunsOfATaskAtOnceAreFound() {
        checker.recordStart(firstWorker, FIRST, false);
        checker.recordStart(secondWorker, SECOND, false);
        assertFound("TWICE");
    }

    @Test
    public void oneRunOnTwoWorkersIsFound() {
        checker.recordStart(firstWorker, FIRST, false);
        checker.recordStart(secondWorker, FIRST, false);
        assertFound("TWICE");
    }

    @Test
    public void aRunAfterOneLostWithItsWorkerIsAllowed() {
        checker.recordStart(firstWorker, FIRST, false);
        checker.recordLostRun(firstWorker, FIRST);
        checker.recordStart(secondWorker, SECOND, false);
        assertFound();
    }

    @Test
    public void theThirdStartOfATaskAfterThreeCrashesUnderItIsFound() {
        for (int number = 1; number <= 5; number++) {
            startAndCrash(number);
        }
        assertFound();
        startAndCrash(6);
        assertFound("CRASHES");
    }

    private void startAndCrash(int number) {
        RunId run = new RunId(TASK, number);
        checker.recordStart(firstWorker, run, false);
        checker.recordCrash(TASK);
        checker.recordLostRun(firstWorker, run);
    }

    @Test
    public void aStartInAnEvacuatedHallIsFoundAfterTheTimeToReadTheRequest() {
        checker.evacuationAcknowledged(new EvacuationChange(firstWorker.getHall(), true));
        environment.runUntil(2500);
        checker.recordStart(firstWorker, FIRST, false);
        assertFound();
        checker.recordLostRun(firstWorker, FIRST);
        environment.runUntil(2600);
        checker.recordStart(firstWorker, SECOND, true);
        assertFound();
        checker.recordLostRun(firstWorker, SECOND);
        checker.recordStart(firstWorker, new RunId(TASK, 3), false);
        assertFound("EVAC");
        checker.recordLostRun(firstWorker, new RunId(TASK, 3));
        checker.evacuationAcknowledged(new EvacuationChange(firstWorker.getHall(), false));
        checker.recordStart(firstWorker, new RunId(TASK, 4), false);
        assertFound("EVAC");
    }

    @Test
    public void aStartAfterASuccessfulEndThatIsRecordedLaterIsFound() {
        succeedAndStartAgain();
        checker.recordPersistedEnds(firstWorker, 1);
        assertFound("AGAIN");
    }

    @Test
    public void aStartAfterASuccessfulEndThatIsNeverRecordedIsAllowed() {
        succeedAndStartAgain();
        assertFound();
    }

    @Test
    public void aSuccessfulEndIsIgnoredOnceTheLeaseHasExpired() {
        succeedAndStartAgain();
        checker.recordLapse(firstWorker);
        checker.recordPersistedEnds(firstWorker, 1);
        assertFound();
    }

    private void succeedAndStartAgain() {
        checker.recordStart(firstWorker, FIRST, false);
        environment.runUntil(100);
        checker.recordEnd(firstWorker, FIRST, RunEndKind.DONE, 1);
        environment.runUntil(200);
        checker.recordStart(secondWorker, SECOND, false);
    }

    @Test
    public void aRunStartedLongAfterTheCancelIsFound() {
        checker.cancelAcknowledged(TASK.job());
        environment.runUntil(3200);
        checker.recordStart(firstWorker, FIRST, false);
        assertFound("UNASKED");
    }

    @Test
    public void aRunStartedSoonAfterTheCancelIsAllowed() {
        checker.cancelAcknowledged(TASK.job());
        environment.runUntil(2900);
        checker.recordStart(firstWorker, FIRST, false);
        environment.runUntil(3300);
        checker.recordEnd(firstWorker, FIRST, RunEndKind.STOPPED, 1);
        environment.runUntil(9000);
        assertFound();
    }

    @Test
    public void aRunStillRunningLongAfterTheCancelIsFoundOnce() {
        checker.recordStart(firstWorker, FIRST, false);
        checker.cancelAcknowledged(TASK.job());
        environment.runUntil(9000);
        assertFound("UNASKED");
    }

    @Test
    public void anImpairmentExtendsTheTimeToStopACancelledJob() {
        checker.recordStart(firstWorker, FIRST, false);
        checker.cancelAcknowledged(TASK.job());
        checker.recordImpairment(4000);
        environment.runUntil(6900);
        assertFound();
        environment.runUntil(7200);
        assertFound("UNASKED");
    }

    @Test
    public void aDelayedStartExtendsTheTimeToStopACancelledJob() {
        checker.cancelAcknowledged(TASK.job());
        environment.runUntil(5000);
        checker.recordStart(firstWorker, FIRST, true);
        environment.runUntil(7900);
        assertFound();
        environment.runUntil(8200);
        assertFound("UNASKED");
    }

    @Test
    public void aWorkerOverItsCapacityIsFound() {
        checker.checkCapacity(
                firstWorker, new Resources(1000, 100, 0), new Resources(1000, 1000, 0), FIRST);
        assertFound();
        checker.checkCapacity(
                firstWorker, new Resources(2000, 200, 0), new Resources(1000, 1000, 0), SECOND);
        assertFound("ROOM");
    }
}
