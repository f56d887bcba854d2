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

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.standlink.StandlinkException;

/**
 * Drives a cell through the random faults of {@link TestCellProperties} together with starts that
 * workers carry out late, heartbeats that arrive late, and agents that leave and come back: an
 * attempt that was given up runs nowhere.
 */
public class TestGivenUpProperties {

    /** What may happen besides. */
    enum Fault {
        HOLD_STARTS,
        ANSWER_STARTS,
        CARRY_OUT_LATE,
        SEND_LATE,
        DELIVER_LATE,
        LEAVE,
        RESTART
    }

    /** One thing that happens: an action of the other properties, or a fault on a VM. */
    record Event(TestCellProperties.Action action, Fault fault, int vm) {}

    @Provide
    Arbitrary<List<Event>> events() {
        Arbitrary<Event> actions =
                new TestCellProperties()
                        .action()
                        .map(action -> new Event(action, null, action.vm()));
        Arbitrary<Event> faults =
                Combinators.combine(
                                Arbitraries.of(Fault.values()),
                                Arbitraries.integers().between(1, 3))
                        .as((fault, vm) -> new Event(null, fault, vm));
        return Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(3, actions), net.jqwik.api.Tuple.of(2, faults))
                .list()
                .ofSize(120);
    }

    @Property(
            tries = 60,
            seed = "20261202",
            shrinking = net.jqwik.api.ShrinkingMode.OFF,
            edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    void neverRunsWhatWasGivenUp(@ForAll("events") List<Event> events) {
        TestCell cell = new TestCell();
        cell.publish(TestCellProperties.JOBS);
        cell.claim("vm-1");
        cell.run(3);
        for (Event event : events) {
            apply(cell, event);
            cell.check();
            assertEquals(0, cell.getViolations(), () -> "after " + event + " in " + events);
        }
    }

    private static void apply(TestCell cell, Event event) {
        if (event.action() != null) {
            TestCellProperties.apply(cell, event.action());
            return;
        }
        String vm = "vm-" + event.vm();
        switch (event.fault()) {
            case HOLD_STARTS -> cell.calls(vm).holdStarts(true);
            case ANSWER_STARTS -> cell.calls(vm).holdStarts(false);
            case CARRY_OUT_LATE -> cell.calls(vm).carryOutLate();
            case SEND_LATE -> cell.sendLate(vm);
            case DELIVER_LATE -> tryDeliver(cell);
            case LEAVE -> cell.setLeaving(vm);
            default -> cell.restartAgent(vm);
        }
    }

    private static void tryDeliver(TestCell cell) {
        try {
            cell.deliverLate();
        } catch (StandlinkException refused) {
            // It is older than what was heard, or the leader may not act.
        }
    }
}
