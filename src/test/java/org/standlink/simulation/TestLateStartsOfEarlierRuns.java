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

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that a start call that a later incarnation of its worker executes does not run beside the
 * next run of its task.
 *
 * <p>Guards against two runs of a task at once. A start is called for twice, and the second call is
 * carried out. The run ends without completing its task, which is started again; then the worker is
 * lost, and an incarnation under the same id executes the first call. That the run has ended, and
 * that another incarnation has refused the call, says nothing of that incarnation.
 */
public class TestLateStartsOfEarlierRuns {

    /** When the run that the second call started fails. */
    private static final long FAILURE_MILLIS = 1100;

    /** When the worker says that it leaves, and a time after it has left. */
    private static final long DRAINING_MILLIS = 1000;

    private static final long LEFT_MILLIS = 2600;

    /** When the run that replaces a stopped one would have completed, if it were not delayed. */
    private static final long COMPLETED_MILLIS = 2500;

    private static final long SHORT_WORK_MILLIS = 500;

    private static final long LOST_REPORTS_MILLIS = 12_000;
    private static final long UNTIL_STOPPED = 0;

    // -----------------------------------------------------------------------
    /** The run that the second call started fails, and its worker is lost soon afterwards. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedAfterTheRunFailed() {
        LateStartSweep sweep = new LateStartSweep("second call answered, run failed");
        for (long afterMillis : List.of(50L, 450L, 1550L)) {
            for (LateStartScene.Timing timing :
                    LateStartSweep.listTimings(FAILURE_MILLIS + afterMillis)) {
                sweep.play(
                        ", crash after failure " + afterMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.runUntil(FAILURE_MILLIS);
                            scene.getClient().getWorker().failRuns();
                            scene.crashWorkerAt(FAILURE_MILLIS + afterMillis);
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /**
     * The second call is refused, and the run is stopped before it has started. Its task must not
     * complete before the first call has certainly been executed or refused.
     */
    @Test
    public void aStartOfAStoppedRunIsNotExecutedAfterTheNextRunCompleted() {
        LateStartSweep sweep = new LateStartSweep("second call refused, run stopped");
        for (long afterMillis : List.of(0L, 1500L)) {
            for (LateStartScene.Timing timing :
                    LateStartSweep.listTimings(COMPLETED_MILLIS + afterMillis)) {
                sweep.play(
                        ", crash after " + (COMPLETED_MILLIS + afterMillis),
                        new LateStartScene(SHORT_WORK_MILLIS, 1),
                        timing,
                        scene -> {
                            scene.getClient().refuseNextStarts(1);
                            scene.crashWorkerAt(COMPLETED_MILLIS + afterMillis);
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** The next incarnation refuses the start and is lost as well; the third one executes it. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedByTheThirdIncarnation() {
        LateStartSweep sweep = new LateStartSweep("third incarnation");
        for (long secondCrashMillis : List.of(1900L, 2600L, 4000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(secondCrashMillis)) {
                sweep.play(
                        ", second crash after " + secondCrashMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.crashWorkerAt(1000);
                            scene.runUntil(1200);
                            scene.getMachine().startWorker();
                            scene.crashWorkerAt(secondCrashMillis);
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /** Another leader takes over after the run has failed and its worker was lost. */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedUnderALeaderThatTookOverAfterTheRunFailed() {
        LateStartSweep sweep = new LateStartSweep("run failed, leader replaced");
        for (long takeOverMillis : List.of(1500L, 3000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(takeOverMillis)) {
                sweep.play(
                        ", leader replaced after " + takeOverMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.runUntil(FAILURE_MILLIS);
                            scene.getClient().getWorker().failRuns();
                            scene.crashWorkerAt(FAILURE_MILLIS + 50);
                            scene.runUntil(takeOverMillis);
                            scene.replaceLeader();
                        });
            }
        }
        sweep.assertNoViolations();
    }

    /**
     * Another leader takes over while the task waits, and receives no report of the agent that made
     * the first call.
     */
    @Test
    public void aStartThatWasRepeatedIsNotExecutedUnderALeaderThatKnowsNoCalls() {
        LateStartSweep sweep = new LateStartSweep("leader replaced, no reports");
        for (long takeOverMillis : List.of(1300L, 2000L)) {
            for (LateStartScene.Timing timing : LateStartSweep.listTimings(LEFT_MILLIS)) {
                sweep.play(
                        ", leader replaced after " + takeOverMillis,
                        new LateStartScene(UNTIL_STOPPED, 1),
                        timing,
                        scene -> {
                            scene.runUntil(DRAINING_MILLIS);
                            scene.getMachine().drainWorker();
                            scene.runUntil(FAILURE_MILLIS);
                            scene.getClient().getWorker().failRuns();
                            scene.runUntil(takeOverMillis - 50);
                            scene.getMachine().getUplink().loseMessages(LOST_REPORTS_MILLIS);
                            scene.runUntil(takeOverMillis);
                            scene.replaceLeader();
                            scene.runUntil(LEFT_MILLIS);
                        });
            }
        }
        sweep.assertNoViolations();
    }
}
