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

import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.standlink.BundleFixtures;
import org.standlink.StandlinkException;

/**
 * Tests that an abandoned attempt runs nowhere under random faults: delayed starts and heartbeats,
 * lost appends, agents that leave and return, and jobs that are cancelled and added again. Attempts
 * are waiting to be started throughout.
 */
public class TestAbandonedAttemptProperties {

    private static final String JOBS =
            BundleFixtures.SCAN_JOB
                    .replace("'tasks':4", "'tasks':16")
                    .replace("'runSeconds':60", "'runSeconds':20");

    /** The kinds of actions. */
    enum Kind {
        DELAY_STARTS,
        STOP_DELAYING_STARTS,
        EXECUTE_DELAYED_CALL,
        SEND_DELAYED_HEARTBEAT,
        DELIVER_DELAYED_HEARTBEAT,
        LOSE_ANSWER,
        LEAVE,
        RESTART_AGENT,
        DISCONNECT_AGENT,
        RECONNECT_AGENT,
        DELAY_APPEND,
        EXECUTE_DELAYED_APPENDS,
        LOG_DOWN,
        LOG_UP,
        CANCEL,
        ADD_JOB_AGAIN,
        CLAIM;

        /** Gets the relative frequency; related actions are frequent, so that they coincide. */
        private int weight() {
            return switch (this) {
                case LEAVE,
                        RESTART_AGENT,
                        DELAY_APPEND,
                        SEND_DELAYED_HEARTBEAT,
                        DELIVER_DELAYED_HEARTBEAT ->
                        4;
                case STOP_DELAYING_STARTS, RECONNECT_AGENT, LOG_UP, ADD_JOB_AGAIN -> 2;
                default -> 1;
            };
        }
    }

    /** An action on one VM; one second passes if the kind is null. */
    record Action(Kind kind, int vm) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Action> faults =
                Combinators.combine(
                                Arbitraries.of(listWeightedKinds()),
                                Arbitraries.integers().between(1, 3))
                        .as(Action::new);
        return Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(2, Arbitraries.just(new Action(null, 0))),
                        net.jqwik.api.Tuple.of(3, faults))
                .list()
                .ofSize(150);
    }

    private static List<Kind> listWeightedKinds() {
        return Stream.of(Kind.values())
                .flatMap(kind -> Collections.nCopies(kind.weight(), kind).stream())
                .toList();
    }

    @Property(
            tries = 100,
            seed = "20261202",
            shrinking = net.jqwik.api.ShrinkingMode.OFF,
            edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    void neverRunsAnAbandonedAttempt(@ForAll("actions") List<Action> actions) {
        CellHarness cell = new CellHarness();
        cell.publishBundle(JOBS);
        cell.claim("vm-1");
        cell.runForSeconds(3);
        for (Action action : actions) {
            try {
                apply(cell, action);
            } catch (StandlinkException refused) {
                // The heartbeat is out of order, the leader may not act, or the log is unavailable.
            }
            cell.checkInvariants();
            assertEquals(0, cell.getViolations(), () -> "after " + action + " in " + actions);
        }
    }

    private static void apply(CellHarness cell, Action action) {
        if (action.kind() == null) {
            cell.step();
            return;
        }
        String vm = "vm-" + action.vm();
        switch (action.kind()) {
            case DELAY_STARTS -> cell.getWorkerPort(vm).setDelayingStarts(true);
            case STOP_DELAYING_STARTS -> cell.getWorkerPort(vm).setDelayingStarts(false);
            case EXECUTE_DELAYED_CALL -> cell.getWorkerPort(vm).executeDelayedCall();
            case SEND_DELAYED_HEARTBEAT -> sendDelayedHeartbeat(cell, vm);
            case DELIVER_DELAYED_HEARTBEAT -> cell.deliverDelayedHeartbeat();
            case LOSE_ANSWER -> cell.sendHeartbeatWithoutAnswer(vm);
            case LEAVE -> leave(cell, vm);
            case RESTART_AGENT -> restartAgent(cell, vm);
            case DISCONNECT_AGENT -> cell.setReachable(vm, false);
            case RECONNECT_AGENT -> cell.setReachable(vm, true);
            case DELAY_APPEND -> cell.getLog().delayAppends(1);
            case EXECUTE_DELAYED_APPENDS -> cell.getLog().executeDelayedAppends();
            case LOG_DOWN -> cell.setLogDown(true);
            case LOG_UP -> cell.setLogDown(false);
            case CANCEL -> cell.publishBundle("");
            case ADD_JOB_AGAIN -> cell.publishBundle(JOBS);
            default -> cell.claim(vm);
        }
    }

    /** Sends a delayed heartbeat, which is full as the answer to the one before it was lost. */
    private static void sendDelayedHeartbeat(CellHarness cell, String vm) {
        cell.sendHeartbeatWithoutAnswer(vm);
        cell.sendDelayedHeartbeat(vm);
    }

    private static void leave(CellHarness cell, String vm) {
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.sendHeartbeat(vm);
    }

    private static void restartAgent(CellHarness cell, String vm) {
        cell.restartAgent(vm);
        if (cell.isLeaderless()) {
            cell.claim("vm-1");
        }
        for (int i = 0; i < 2; i++) {
            cell.sendHeartbeat(vm);
            cell.tick(vm);
        }
    }
}
