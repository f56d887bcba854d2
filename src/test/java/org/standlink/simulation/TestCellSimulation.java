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

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs simulated days of a whole cell with faults drawn from fixed seeds, and checks the
 * invariants.
 *
 * <p>{@code -Dstandlink.simulation.seeds=500} runs more seeds than the default, from the one given
 * by {@code -Dstandlink.simulation.first}. {@code -Dstandlink.simulation.trace=7,9} runs only the
 * given seeds, with the smallest set of faults that still shows a violation of the same kind, and
 * writes the trace to {@code target/simulation-7.txt}; {@code -Dstandlink.simulation.days=COMBINED}
 * selects the {@link DayKind} of these days, and {@code -Dstandlink.simulation.ids=kept} is the
 * same as {@code KEPT_IDS}.
 */
public class TestCellSimulation {

    private static final int DEFAULT_SEED_COUNT = 120;
    private static final long REPEATED_SEED = 7;

    private static final long WAITING_JOBS_SEED = 2107;
    private static final int MIN_STARTS = 5;

    @Test
    public void noDayWithFaultsBreaksARule() throws IOException {
        String traced = System.getProperty("standlink.simulation.trace");
        if (traced != null) {
            for (String seed : traced.split(",")) {
                writeMinimisedTrace(Long.parseLong(seed));
            }
            return;
        }
        int first = Integer.getInteger("standlink.simulation.first", 1);
        int count = Integer.getInteger("standlink.simulation.seeds", DEFAULT_SEED_COUNT);
        TreeMap<Long, List<String>> failures = new TreeMap<>();
        for (long seed = first; seed < first + count; seed++) {
            SimulatedDay day = new SimulatedDay(seed);
            List<String> violations = day.run();
            if (!violations.isEmpty()) {
                failures.put(seed, violations);
            }
            assertTrue(
                    day.countStarts() >= MIN_STARTS, "too few runs were started with seed " + seed);
        }
        StringBuilder message = new StringBuilder();
        failures.forEach(
                (seed, violations) ->
                        message.append("\nseed ").append(seed).append(": ").append(violations));
        assertEquals(0, failures.size(), () -> "seeds with violations out of " + count + message);
    }

    @Test
    public void noDayOnWhichMachinesAreSuspendedBreaksARule() {
        assertNoViolations(DayKind.SUSPENDED);
    }

    /**
     * Guards against state that was reported to callers and workers but is not in the store, as an
     * exception discarded accepted changes. A leader throws at any read of its clock.
     */
    @Test
    public void noDayOnWhichLeadersThrowBreaksARule() {
        assertNoViolations(DayKind.THROWING);
    }

    /**
     * Guards against lost ends of a restarted worker: the agent acknowledged to it the recorded
     * ends of its former incarnation. Workers that crash restart under their ids.
     */
    @Test
    public void noDayOnWhichWorkersKeepTheirIdsBreaksARule() {
        assertNoViolations(DayKind.KEPT_IDS);
    }

    /**
     * Guards against false STUCK violations: three jobs waited for capacity at the first check and
     * had completed by the second, so none of their tasks was running at either.
     */
    @Test
    public void jobsThatWaitForCapacityAndThenEndAreNotStuck() {
        assertEquals(List.of(), new SimulatedDay(WAITING_JOBS_SEED).withKeptWorkerIds().run());
    }

    /**
     * Guards against starts in evacuated halls: 842 tasks were started in two halls, as no process
     * read the request. Starts in progress, repeated ones and those of a new leader are checked
     * too.
     */
    @Test
    public void noDayOnWhichHallsAreEvacuatedBreaksARule() {
        assertNoViolations(DayKind.EVACUATED);
    }

    /** Combines suspended machines, throwing leaders and kept worker ids, each drawn separately. */
    @Test
    public void noDayWithAllOfTheseBreaksARule() {
        assertNoViolations(DayKind.COMBINED);
    }

    /**
     * Guards against starts of a former incarnation that are carried out, or confirmed as running,
     * once the hall was evacuated and its worker returned under its id: the task is stopped and
     * placed elsewhere while the start without an answer still waits.
     */
    @Test
    public void noDayOnWhichWorkersKeepTheirIdsInEvacuatedHallsBreaksARule() {
        assertNoViolations(DayKind.KEPT_IDS_EVACUATED);
    }

    /**
     * Guards against the same while an agent with a stale clock, or a new leader after one that
     * threw, has to recall both the evacuation and the present incarnation of each worker.
     */
    @Test
    public void noDayWithAllOfTheseAndEvacuatedHallsBreaksARule() {
        assertNoViolations(DayKind.COMBINED_EVACUATED);
    }

    /**
     * Guards against a restarted worker that is taken for its former incarnation, or the reverse:
     * what was recorded of the one is lost, late or of unknown outcome, and a new leader knows only
     * what the store has kept. The store answers late, never or with a refusal, and leaders change.
     */
    @Test
    public void noDayOnWhichWorkersKeepTheirIdsAndTheStoreFailsBreaksARule() {
        assertNoViolations(DayKind.KEPT_IDS_STORE_FAULTS);
    }

    /**
     * Guards against a start without an answer that is carried out by the next incarnation of the
     * worker, beside a run elsewhere or after a recorded end. Calls stay unanswered for a time, at
     * the end of which the worker crashes or drains; it returns under its id before they are
     * carried out.
     */
    @Test
    public void noDayOnWhichSilentWorkersAreLostAndReturnBreaksARule() {
        assertNoViolations(DayKind.KEPT_IDS_LOST_WORKERS);
    }

    @Test
    public void aDayIsTheSameEachTime() {
        SimulatedDay first = new SimulatedDay(REPEATED_SEED);
        SimulatedDay second = new SimulatedDay(REPEATED_SEED);
        first.run();
        second.run();
        assertEquals(first.getTrace(), second.getTrace());
    }

    private static void assertNoViolations(DayKind kind) {
        int first = Integer.getInteger("standlink.simulation.first", 1);
        int count = Integer.getInteger("standlink.simulation.seeds", DEFAULT_SEED_COUNT);
        List<String> failures = new ArrayList<>();
        for (long seed = first; seed < first + count; seed++) {
            List<String> violations = kind.create(seed).run();
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + ": " + violations);
            }
        }
        assertEquals(
                0,
                failures.size(),
                () -> "seeds with violations out of " + count + "\n" + String.join("\n", failures));
    }

    /** Removes faults one by one while the day still shows a violation of the same kind. */
    private static void writeMinimisedTrace(long seed) throws IOException {
        DayKind dayKind = getTracedKind();
        List<SimulatedFault> faults = dayKind.drawFaults(seed);
        SimulatedDay lastDay = dayKind.create(seed, faults);
        List<String> violations = lastDay.run();
        String kind = violations.isEmpty() ? "" : kindOf(violations.get(0));
        int next = violations.isEmpty() ? faults.size() : 0;
        while (next < faults.size()) {
            List<SimulatedFault> fewer = new ArrayList<>(faults);
            fewer.remove(next);
            SimulatedDay trial = dayKind.create(seed, fewer);
            List<String> trialViolations = trial.run();
            if (trialViolations.stream().anyMatch(violation -> kindOf(violation).equals(kind))) {
                faults = fewer;
                lastDay = trial;
                violations = trialViolations;
                next = 0;
            } else {
                next++;
            }
        }
        List<String> lines = new ArrayList<>(lastDay.getTrace());
        lines.add("faults " + faults);
        lines.add("violations " + violations);
        Files.write(Path.of("target", "simulation-" + seed + ".txt"), lines);
    }

    private static DayKind getTracedKind() {
        boolean keepsIds = "kept".equals(System.getProperty("standlink.simulation.ids"));
        String name = System.getProperty("standlink.simulation.days");
        return name == null ? keepsIds ? DayKind.KEPT_IDS : DayKind.PLAIN : DayKind.valueOf(name);
    }

    private static String kindOf(String violation) {
        return violation.split(" ")[1];
    }
}
