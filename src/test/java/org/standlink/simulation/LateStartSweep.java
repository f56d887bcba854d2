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
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.standlink.runner.CallResult;

/** Plays scenes at many times, in which the call is executed late by the next incarnation. */
final class LateStartSweep {

    private static final long MIN_DELAY_MILLIS = 2000;
    private static final long MAX_DELAY_MILLIS = 12_000;
    private static final long FINE_STEP_MILLIS = 200;
    private static final long STEP_MILLIS = 1000;

    /** When the lease of a worker that is unresponsive from the first call on expires. */
    private static final long LEASE_END_MILLIS = 6000;

    /** How long before the execution of a call its worker is started again, before any other. */
    private static final List<Long> SHORT_GAPS_MILLIS = List.of(10L, 110L);

    /** The same for a worker whose other calls are not executed. */
    private static final List<Long> UNRESPONSIVE_GAPS_MILLIS = List.of(500L, 1500L);

    private final List<String> violations = new ArrayList<>();
    private final String name;
    private int scenes;
    private int lateStartsBesideCalls;

    LateStartSweep(String name) {
        this.name = name;
    }

    /** Plays one scene up to the restart of its worker, and executes the call there. */
    void play(
            String variant,
            LateStartScene scene,
            LateStartScene.Timing timing,
            Consumer<LateStartScene> events) {
        scenes++;
        events.accept(scene);
        scene.restartAndExecute(timing);
        scene.settle();
        if (timing.unresponsive()) {
            assertEquals(CallResult.Kind.DONE, scene.getLateResult().kind(), scene::describeTrace);
            assertTrue(scene.isStartedLate(), () -> "started late\n" + scene.describeTrace());
        } else if (scene.isStartedLate()) {
            lateStartsBesideCalls++;
        } else {
            assertEquals(
                    CallResult.Kind.FENCED, scene.getLateResult().kind(), scene::describeTrace);
        }
        for (String violation : scene.getInvariantChecker().finish()) {
            violations.add(name + variant + ", " + timing + ": " + violation);
        }
    }

    void assertNoViolations() {
        assertTrue(lateStartsBesideCalls > 0, "some starts preceded the first other call");
        assertEquals(
                0,
                violations.size(),
                () ->
                        "violations in "
                                + scenes
                                + " scenes, "
                                + lateStartsBesideCalls
                                + " late starts beside other calls\n"
                                + String.join("\n", violations));
    }

    // -----------------------------------------------------------------------
    static List<Long> listDelays() {
        return LongStream.concat(
                        LongStream.iterate(
                                MIN_DELAY_MILLIS,
                                millis -> millis <= MAX_DELAY_MILLIS,
                                millis -> millis + STEP_MILLIS),
                        LongStream.iterate(
                                LEASE_END_MILLIS + FINE_STEP_MILLIS,
                                millis -> millis < LEASE_END_MILLIS + STEP_MILLIS,
                                millis -> millis + FINE_STEP_MILLIS))
                .distinct()
                .sorted()
                .boxed()
                .toList();
    }

    /** Lists the timings at which the worker is started after a time. */
    static List<LateStartScene.Timing> listTimings(long minRestartMillis) {
        return listDelays().stream()
                .flatMap(
                        delay ->
                                Stream.concat(
                                        SHORT_GAPS_MILLIS.stream()
                                                .map(
                                                        gap ->
                                                                new LateStartScene.Timing(
                                                                        delay, gap, false)),
                                        UNRESPONSIVE_GAPS_MILLIS.stream()
                                                .map(
                                                        gap ->
                                                                new LateStartScene.Timing(
                                                                        delay, gap, true))))
                .filter(timing -> timing.restartMillis() > minRestartMillis)
                .toList();
    }
}
