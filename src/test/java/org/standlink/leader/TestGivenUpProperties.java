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
import org.standlink.Fixtures;
import org.standlink.StandlinkException;

/**
 * Drives a cell through starts that workers carry out late, heartbeats that arrive late, appends
 * that are lost, agents that leave and come back and jobs that do: an attempt that was given up
 * runs nowhere. Attempts that wait to be started are there throughout.
 */
public class TestGivenUpProperties {

    private static final String JOBS =
            Fixtures.SCAN
                    .replace("'tasks':4", "'tasks':16")
                    .replace("'runSeconds':60", "'runSeconds':20");

    /** What may happen. */
    enum Kind {
        HOLD_STARTS,
        ANSWER_STARTS,
        CARRY_OUT_LATE,
        SEND_LATE,
        DELIVER_LATE,
        LOSE_ANSWER,
        LEAVE,
        COME_BACK,
        CUT,
        JOIN,
        DELAY_APPEND,
        LAND_LATE,
        LOG_DOWN,
        LOG_UP,
        CANCEL,
        ADD_AGAIN,
        CLAIM;

        /** Gets how often it happens beside others, so that what belongs together meets. */
        private int weight() {
            return switch (this) {
                case LEAVE, COME_BACK, DELAY_APPEND, SEND_LATE, DELIVER_LATE -> 4;
                case ANSWER_STARTS, JOIN, LOG_UP, ADD_AGAIN -> 2;
                default -> 1;
            };
        }
    }

    /** One thing that happens to one VM; a second that passes if there is no kind. */
    record Event(Kind kind, int vm) {}

    @Provide
    Arbitrary<List<Event>> events() {
        Arbitrary<Event> faults =
                Combinators.combine(
                                Arbitraries.of(weighted()), Arbitraries.integers().between(1, 3))
                        .as(Event::new);
        return Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(2, Arbitraries.just(new Event(null, 0))),
                        net.jqwik.api.Tuple.of(3, faults))
                .list()
                .ofSize(150);
    }

    private static List<Kind> weighted() {
        return Stream.of(Kind.values())
                .flatMap(kind -> Collections.nCopies(kind.weight(), kind).stream())
                .toList();
    }

    @Property(
            tries = 100,
            seed = "20261202",
            shrinking = net.jqwik.api.ShrinkingMode.OFF,
            edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    void neverRunsWhatWasGivenUp(@ForAll("events") List<Event> events) {
        TestCell cell = new TestCell();
        cell.publish(JOBS);
        cell.claim("vm-1");
        cell.run(3);
        for (Event event : events) {
            try {
                apply(cell, event);
            } catch (StandlinkException refused) {
                // A heartbeat is too old, the leader may not act, or the log takes nothing.
            }
            cell.check();
            assertEquals(0, cell.getViolations(), () -> "after " + event + " in " + events);
        }
    }

    private static void apply(TestCell cell, Event event) {
        if (event.kind() == null) {
            cell.step();
            return;
        }
        String vm = "vm-" + event.vm();
        switch (event.kind()) {
            case HOLD_STARTS -> cell.calls(vm).holdStarts(true);
            case ANSWER_STARTS -> cell.calls(vm).holdStarts(false);
            case CARRY_OUT_LATE -> cell.calls(vm).carryOutLate();
            case SEND_LATE -> sendLate(cell, vm);
            case DELIVER_LATE -> cell.deliverLate();
            case LOSE_ANSWER -> cell.loseAnswer(vm);
            case LEAVE -> leave(cell, vm);
            case COME_BACK -> comeBack(cell, vm);
            case CUT -> cell.setReachable(vm, false);
            case JOIN -> cell.setReachable(vm, true);
            case DELAY_APPEND -> cell.getLog().delayAppends(1);
            case LAND_LATE -> cell.getLog().landLate();
            case LOG_DOWN -> cell.setLogDown(true);
            case LOG_UP -> cell.setLogDown(false);
            case CANCEL -> cell.publish("");
            case ADD_AGAIN -> cell.publish(JOBS);
            default -> cell.claim(vm);
        }
    }

    /** Sends one that tells everything, as the answer to the one before it was lost. */
    private static void sendLate(TestCell cell, String vm) {
        cell.loseAnswer(vm);
        cell.sendLate(vm);
    }

    private static void leave(TestCell cell, String vm) {
        cell.setLeaving(vm);
        cell.tick(vm);
        cell.beat(vm);
    }

    private static void comeBack(TestCell cell, String vm) {
        cell.restartAgent(vm);
        if (cell.isLeaderless()) {
            cell.claim("vm-1");
        }
        for (int i = 0; i < 2; i++) {
            cell.beat(vm);
            cell.tick(vm);
        }
    }
}
