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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.standlink.Attempt;
import org.standlink.BundleFixtures;
import org.standlink.StandlinkException;
import org.standlink.TaskId;
import org.standlink.log.TaskState;

/**
 * Tests invariants of leaders, agents and workers under random faults: a task never runs in two
 * places, no VM exceeds its capacity, attempt numbers never decrease, and all tasks finish once the
 * faults have ended.
 */
public class TestCellProperties {

    private static final String JOBS = BundleFixtures.SCAN_JOB.replace("'tasks':4", "'tasks':12");

    /** The kinds of actions. */
    enum Kind {
        STEP,
        LONG_PAUSE,
        DISCONNECT_AGENT,
        RECONNECT_AGENT,
        RESTART_AGENT,
        RESTART_WORKER,
        WORKER_DOWN,
        WORKER_UP,
        LOG_DOWN,
        LOG_UP,
        LOSE_ANSWER,
        DELAY_APPEND,
        EXECUTE_DELAYED_APPENDS,
        CLAIM,
        FOLLOW_OLD_LEADER,
        LOSE_HEARTBEAT,
        CANCEL,
        ADD_JOB_AGAIN
    }

    /** An action on one VM. */
    record Action(Kind kind, int vm) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(6, Arbitraries.just(Kind.STEP)),
                        net.jqwik.api.Tuple.of(10, Arbitraries.of(Kind.values())));
        return Combinators.combine(kinds, Arbitraries.integers().between(1, 3))
                .as(Action::new)
                .list()
                .ofSize(120);
    }

    @Property(
            tries = 40,
            seed = "20261202",
            shrinking = net.jqwik.api.ShrinkingMode.OFF,
            edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    void neverRunsATaskTwiceNorExceedsTheCapacity(@ForAll("actions") List<Action> actions) {
        CellHarness cell = new CellHarness();
        cell.publishBundle(JOBS);
        cell.claim("vm-1");
        cell.runForSeconds(3);
        Map<TaskId, Attempt> attempts = new HashMap<>();
        for (Action action : actions) {
            apply(cell, action);
            cell.checkInvariants();
            assertEquals(0, cell.getViolations(), () -> "after " + action + " in " + actions);
            if (cell.isLogUp()) {
                checkAttempts(cell, attempts);
            }
        }
        endFaults(cell);
        cell.runForSeconds(1200);
        assertEquals(0, cell.getViolations(), () -> "while healing after " + actions);
        assertEquals(
                12,
                cell.countInPhase(TaskState.Phase.FINISHED),
                () -> "not finished: " + cell.getStatus() + " after " + actions);
    }

    private static void checkAttempts(CellHarness cell, Map<TaskId, Attempt> attempts) {
        // Attempts of a job that was cancelled and added again restart, so only present tasks
        // count.
        Map<TaskId, Attempt> now = cell.getAttempts();
        attempts.keySet().retainAll(now.keySet());
        now.forEach(
                (task, attempt) -> {
                    Attempt before = attempts.put(task, attempt);
                    assertEquals(false, before != null && before.isAfter(attempt), task.toString());
                });
    }

    private static void apply(CellHarness cell, Action action) {
        String vm = "vm-" + action.vm();
        switch (action.kind()) {
            case STEP -> cell.step();
            case LONG_PAUSE -> cell.getClock().advance(7_000L * action.vm());
            case DISCONNECT_AGENT -> cell.setReachable(vm, false);
            case RECONNECT_AGENT -> cell.setReachable(vm, true);
            case RESTART_AGENT -> cell.restartAgent(vm);
            case RESTART_WORKER -> cell.getWorker(vm).restart();
            case WORKER_DOWN -> cell.getWorker(vm).setDown(true);
            case WORKER_UP -> cell.getWorker(vm).setDown(false);
            case LOG_DOWN -> cell.setLogDown(true);
            case LOG_UP -> cell.setLogDown(false);
            case LOSE_ANSWER -> cell.getLog().loseAnswers(1);
            case DELAY_APPEND -> cell.getLog().delayAppends(1);
            case EXECUTE_DELAYED_APPENDS -> cell.getLog().executeDelayedAppends();
            case CLAIM -> tryClaim(cell, vm);
            case FOLLOW_OLD_LEADER -> cell.setFollowsOldLeader(vm);
            case LOSE_HEARTBEAT -> trySendHeartbeatWithoutAnswer(cell, vm);
            case CANCEL -> tryPublish(cell, "");
            default -> tryPublish(cell, JOBS);
        }
    }

    private static void tryClaim(CellHarness cell, String vm) {
        try {
            cell.claim(vm);
        } catch (StandlinkException unavailable) {
            // The claim may have taken effect; the log shows whether it has.
        }
    }

    private static void trySendHeartbeatWithoutAnswer(CellHarness cell, String vm) {
        try {
            cell.sendHeartbeatWithoutAnswer(vm);
        } catch (StandlinkException refused) {
            // The leader may not act.
        }
    }

    private static void tryPublish(CellHarness cell, String jobs) {
        try {
            cell.publishBundle(jobs);
        } catch (StandlinkException unavailable) {
            // The log is unavailable or the answer was lost; the next version follows the one in
            // force.
        }
    }

    private static void endFaults(CellHarness cell) {
        cell.setLogDown(false);
        cell.getLog().loseAnswers(0);
        cell.getLog().delayAppends(0);
        cell.getLog().executeDelayedAppends();
        for (int i = 1; i <= 3; i++) {
            cell.getWorker("vm-" + i).setDown(false);
            cell.setReachable("vm-" + i, true);
        }
        cell.followCurrentLeader();
        cell.getClock().advance(2000);
        cell.publishBundle(JOBS);
        cell.claim("vm-1");
    }
}
