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

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.standlink.runner.CallResult;

/**
 * Tests that a start call that was meant for one incarnation of a worker, and that the next
 * incarnation under the same id executes late, neither runs beside the run that replaced it nor
 * after a recorded end of its task.
 *
 * <p>Guards against two runs of a task at once and against a run of a completed task. A start call
 * is not answered, and the worker crashes. The run is released with its lease and assigned to
 * another worker, or its task is completed by another call for the same run. Then the worker is
 * started again under its id, and executes the first call before it has seen the fence that was
 * raised meanwhile. The call names only the id of the worker and an earlier fence, and the worker
 * does not know any other, so it refuses nothing.
 *
 * <p>A real leader runs with two real agents. One start call is held and executed at a time that
 * the test determines, from 2 to 12 s after it was made, shortly after the worker was started
 * again. If the worker is unresponsive until then, the call is certainly the first one that it
 * executes; otherwise another call may come first, which makes it refuse the start.
 */
public class TestLateStartsOfFormerIncarnations {

    /** How long after its start a worker has certainly answered its agent. */
    private static final long CALLED_MILLIS = 1000;

    private static final long UNTIL_STOPPED = 0;
    private static final long SHORT_WORK_MILLIS = 500;

    /** Lets the worker be unresponsive from the first call until it crashes. */
    private static void crash(LateStartScene scene, long crashMillis) {
        scene.makeUnresponsive(crashMillis);
        scene.crashWorkerAt(crashMillis);
    }

    // -----------------------------------------------------------------------
    /** The only start call is not answered, and its run is released with the lease. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedAfterTheLease() {
        LateStartSweep sweep = new LateStartSweep("only call");
        for (long workMillis : List.of(UNTIL_STOPPED, SHORT_WORK_MILLIS)) {
            for (long crashMillis : List.of(200L, 1500L, 5000L)) {
                for (LateStartScene.Timing timing : LateStartSweep.listTimings(crashMillis)) {
                    sweep.play(
                            " of " + workMillis + ", crash after " + crashMillis,
                            new LateStartScene(workMillis, 1),
                            timing,
                            scene -> crash(scene, crashMillis));
                }
            }
        }
        sweep.assertNoViolations();
    }

    /** The second call for the run is answered, and the run is released with the lease. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedAfterTheLease() {
        LateStartSweep sweep = new LateStartSweep("second call answered");
        for (long workMillis : List.of(UNTIL_STOPPED, 3000L)) {
            for (long crashMillis : List.of(1000L, 2500L, 3500L)) {
                for (LateStartScene.Timing timing : LateStartSweep.listTimings(crashMillis)) {
                    sweep.play(
                            " of " + workMillis + ", crash after " + crashMillis,
                            new LateStartScene(workMillis, 1),
                            timing,
                            scene -> {
                                scene.runUntil(crashMillis);
                                assertTrue(
                                        scene.getInvariantChecker().isRunning(scene.getTask()),
                                        "the run was started by the second call");
                                scene.getMachine().crashWorker();
                            });
                }
            }
        }
        sweep.assertNoViolations();
    }

    /** The run is completed by the second call for it, and its end is recorded. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedAfterTheRecordedEnd() {
        LateStartSweep sweep = new LateStartSweep("end recorded, second call answered");
        for (long afterMillis : List.of(150L, 1000L, 4000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(1200 + afterMillis)) {
                sweep.play(
                        ", crash after end " + afterMillis,
                        new LateStartScene(SHORT_WORK_MILLIS, 1),
                        timing,
                        scene -> crashAfterEnd(scene, afterMillis));
            }
        }
        sweep.assertNoViolations();
    }

    /**
     * The only call is executed at once, and its answer and the next lists are lost. The call is
     * not repeated, so no other one is left for the next incarnation.
     */
    @Test
    public void anExecutedStartIsNotRepeated() {
        for (long unresponsiveMillis : List.of(600L, 700L, 1400L)) {
            LateStartScene scene = new LateStartScene(1500, 2);
            scene.makeUnresponsive(unresponsiveMillis);
            scene.runUntil(100);
            assertEquals(CallResult.Kind.DONE, scene.getClient().executeHeldStart().kind());
            crashAfterEnd(scene, 1000);
            assertEquals(0, scene.getClient().countHeldStarts(), scene::describeTrace);
            scene.getMachine().startWorker();
            scene.settle();
            assertEquals(1, scene.getInvariantChecker().countStarts(), scene::describeTrace);
            assertEquals(List.of(), scene.getInvariantChecker().finish());
        }
    }

    private static void crashAfterEnd(LateStartScene scene, long afterMillis) {
        InvariantChecker checker = scene.getInvariantChecker();
        scene.runUntil(2500, () -> checker.hasSucceeded(scene.getTask()));
        scene.crashWorkerAt(scene.elapsed() + afterMillis);
    }

    /** The worker leaves without having answered the only start call. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedAfterAWorkerLeft() {
        LateStartSweep sweep = new LateStartSweep("worker left, only call");
        for (long drainMillis : List.of(50L, 300L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(drainMillis + 1500)) {
                sweep.play(
                        ", drained after " + drainMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.makeUnresponsive(drainMillis + 1500);
                            scene.runUntil(drainMillis);
                            scene.getMachine().drainWorker();
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** The second call for the run is answered; the run is moved when the worker leaves. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedAfterAWorkerLeft() {
        LateStartSweep sweep = new LateStartSweep("worker left, second call answered");
        for (long drainMillis : List.of(1000L, 3000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(drainMillis + 1500)) {
                sweep.play(
                        ", drained after " + drainMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.runUntil(drainMillis);
                            scene.getMachine().drainWorker();
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** Another leader takes over while the run waits for the end of its lease. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedUnderALeaderThatTookOverInTheLease() {
        assertNoViolationsWithNewLeader(
                "leader replaced in the lease", List.of(1000L, 3000L, 5000L));
    }

    /** Another leader takes over when the lease has just expired. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedUnderALeaderThatTookOverAfterTheLease() {
        assertNoViolationsWithNewLeader(
                "leader replaced after the lease", List.of(6100L, 6300L, 6500L));
    }

    private static void assertNoViolationsWithNewLeader(String name, List<Long> takeOvers) {
        LateStartSweep sweep = new LateStartSweep(name);
        for (long takeOverMillis : takeOvers) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(takeOverMillis)) {
                sweep.play(
                        ", leader replaced after " + takeOverMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            crash(scene, 200);
                            scene.runUntil(takeOverMillis);
                            scene.replaceLeader();
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** The agent process is restarted at once, or later within the lease. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedAfterARestartOfTheAgent() {
        assertNoViolationsWithoutAgent("agent restarted", List.of(300L, 2000L, 5000L));
    }

    /** The agent process is away for longer than the lease. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedWhileTheAgentIsAway() {
        assertNoViolationsWithoutAgent("agent away", List.of(8000L, 13_000L));
    }

    private static void assertNoViolationsWithoutAgent(String name, List<Long> returns) {
        LateStartSweep sweep = new LateStartSweep(name);
        for (long returnMillis : returns) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(300)) {
                sweep.play(
                        ", agent back after " + returnMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.runUntil(150);
                            scene.getMachine().endAgent();
                            scene.crashWorkerAt(200);
                            scene.getEnvironment()
                                    .schedule(
                                            returnMillis - 200,
                                            () ->
                                                    scene.getMachine()
                                                            .startAgent(
                                                                    scene.getCell()
                                                                            .newestLeaderNotice()));
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** The agent calls the next incarnation, but under the fence that it knows. */
    @Test
    public void aStartWithoutAnAnswerIsNotExecutedWhileTheLinkToTheLeaderIsHeld() {
        LateStartSweep sweep = new LateStartSweep("only call");
        for (long heldMillis : List.of(3000L, 8000L, 14_000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(300)) {
                sweep.play(
                        ", link held for " + heldMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.getMachine().getUplink().delay(heldMillis);
                            crash(scene, 200);
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /**
     * An incarnation that answers its agent refuses the start, as the fence was raised when its
     * predecessor was found to have ended.
     */
    @Test
    public void anIncarnationThatAnswersRefusesTheStart() {
        assertRefusedByAnsweringIncarnation(UNTIL_STOPPED, scene -> crash(scene, 200));
        assertRefusedByAnsweringIncarnation(UNTIL_STOPPED, scene -> scene.crashWorkerAt(1000));
        assertRefusedByAnsweringIncarnation(SHORT_WORK_MILLIS, scene -> crashAfterEnd(scene, 150));
        assertRefusedByAnsweringIncarnation(
                UNTIL_STOPPED,
                scene -> {
                    crash(scene, 200);
                    scene.replaceLeader();
                });
    }

    /** The same after a restart of the agent process, which has a lease of its own. */
    @Test
    public void anIncarnationThatAnswersAnotherAgentProcessRefusesTheStart() {
        assertRefusedByAnsweringIncarnation(
                UNTIL_STOPPED,
                scene -> {
                    scene.runUntil(150);
                    scene.getMachine().endAgent();
                    scene.crashWorkerAt(200);
                    scene.getMachine().startAgent(scene.getCell().newestLeaderNotice());
                });
    }

    /** The same after the former incarnation left without having answered the only start call. */
    @Test
    public void anIncarnationThatAnswersRefusesTheStartAfterAWorkerLeft() {
        assertRefusedByAnsweringIncarnation(
                UNTIL_STOPPED,
                scene -> {
                    scene.makeUnresponsive(1550);
                    scene.runUntil(50);
                    scene.getMachine().drainWorker();
                    scene.runUntil(1600);
                });
    }

    /** The same after the run was moved from the former incarnation, which then left. */
    @Test
    public void anIncarnationThatAnswersRefusesTheStartOfAMovedRun() {
        assertRefusedByAnsweringIncarnation(
                UNTIL_STOPPED,
                scene -> {
                    scene.runUntil(1000);
                    scene.getMachine().drainWorker();
                    scene.runUntil(2550);
                });
    }

    private static void assertRefusedByAnsweringIncarnation(
            long workMillis, Consumer<LateStartScene> events) {
        List<String> violations = new ArrayList<>();
        for (long delayMillis : LateStartSweep.listDelays()) {
            LateStartScene scene = new LateStartScene(workMillis, 1);
            events.accept(scene);
            LateStartScene.Timing timing =
                    new LateStartScene.Timing(delayMillis, CALLED_MILLIS, false);
            if (timing.restartMillis() <= scene.elapsed()) {
                continue;
            }
            scene.restartAndExecute(timing);
            scene.settle();
            if (scene.getLateResult().kind() != CallResult.Kind.FENCED) {
                violations.add(timing + ": " + scene.getLateResult().kind());
            }
            for (String violation : scene.getInvariantChecker().finish()) {
                violations.add(timing + ": " + violation);
            }
        }
        assertEquals(List.of(), violations);
    }
}
