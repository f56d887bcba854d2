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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of one day from its seed. The order of the draws is part of the plan. */
final class FaultPlan {

    /** A range around the time that leader authority and a lease take together to expire. */
    private static final long MIN_LAPSE_MILLIS = 8400;

    private static final long MAX_LAPSE_MILLIS = 9800;
    private static final long MAX_DURATION_MILLIS = 10_000;
    private static final int MAX_FAULTS = 16;

    /** Number of patterns: few faults, one burst, clusters at one machine each (two), or spread. */
    private static final int PATTERNS = 5;

    private static final int FEW_PATTERN = 0;
    private static final int BURST_PATTERN = 1;
    private static final int LAST_CLUSTER_PATTERN = 3;
    private static final int MAX_FAULTS_OF_FEW_PATTERN = 3;
    private static final long BURST_MILLIS = 6000;
    private static final long CLUSTER_INTERVAL_MILLIS = 11_000;
    private static final long CLUSTER_SPAN_MILLIS = 5000;
    private static final int MAX_IN_CLUSTER = 6;

    private static final int MIN_STORE_FAULTS = 4;
    private static final int MAX_STORE_FAULTS = 10;
    private static final long MAX_STORE_FAULT_MILLIS = 3000;
    private static final int MIN_LOST_WORKERS = 4;
    private static final int MAX_LOST_WORKERS = 10;
    private static final int UNRESPONSIVE_PERCENT = 70;
    private static final int MAX_SILENT_MILLIS = 3000;
    private static final int MAX_MILLIS_TO_LOSS = 300;

    /** The time from the announcement of a drain to the end of the worker. */
    private static final int DRAIN_MILLIS = 1500;

    private final Random random;
    private final int pattern;
    private final int machines;
    private final List<SimulatedFault> faults = new ArrayList<>();

    private FaultPlan(long seed, int machines) {
        this.random = new Random(seed * 31 + 7);
        this.pattern = (int) (seed % PATTERNS);
        this.machines = machines;
    }

    /** Draws the faults of a day, which start between two times in milliseconds. */
    static List<SimulatedFault> draw(long seed, int machines, long from, long until) {
        FaultPlan plan = new FaultPlan(seed, machines);
        plan.draw(from, until);
        return plan.faults;
    }

    /** Draws short faults of the store and changes of leader, which start between two times. */
    static List<SimulatedFault> drawStoreFaults(Random random, long from, long until) {
        SimulatedFault.Kind[] kinds = SimulatedFault.Kind.listStoreAndLeaderKinds();
        int count = MIN_STORE_FAULTS + random.nextInt(MAX_STORE_FAULTS - MIN_STORE_FAULTS + 1);
        List<SimulatedFault> drawn = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SimulatedFault.Kind kind = kinds[random.nextInt(kinds.length)];
            long startMillis = from + random.nextInt((int) (until - from));
            long durationMillis = 100 + random.nextInt((int) MAX_STORE_FAULT_MILLIS - 100);
            drawn.add(
                    new SimulatedFault(startMillis, kind, 0, durationMillis, random.nextInt(1000)));
        }
        return drawn;
    }

    /**
     * Draws workers that first leave calls without an answer, and then crash or drain around the
     * end of that time, when these calls have not been executed yet. They return soon.
     */
    static List<SimulatedFault> drawLostWorkers(
            Random random, int machines, long from, long until) {
        int count = MIN_LOST_WORKERS + random.nextInt(MAX_LOST_WORKERS - MIN_LOST_WORKERS + 1);
        List<SimulatedFault> drawn = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int machine = random.nextInt(machines);
            long startMillis = from + random.nextInt((int) (until - from));
            long silentMillis = 100 + random.nextInt(MAX_SILENT_MILLIS - 100);
            SimulatedFault.Kind silence =
                    random.nextInt(100) < UNRESPONSIVE_PERCENT
                            ? SimulatedFault.Kind.WORKER_UNRESPONSIVE
                            : SimulatedFault.Kind.WORKER_UNRELIABLE;
            drawn.add(
                    new SimulatedFault(
                            startMillis, silence, machine, silentMillis, random.nextInt(1000)));
            boolean drains = random.nextBoolean();
            long lossMillis = startMillis + silentMillis + random.nextInt(MAX_MILLIS_TO_LOSS);
            // A drain that is announced earlier ends the worker at about that time.
            long announcedMillis = lossMillis - (drains ? random.nextInt(DRAIN_MILLIS) : 0);
            drawn.add(
                    new SimulatedFault(
                            Math.max(startMillis, announcedMillis),
                            drains
                                    ? SimulatedFault.Kind.WORKER_DRAINS
                                    : SimulatedFault.Kind.WORKER_CRASH,
                            machine,
                            50 + random.nextInt(1500),
                            random.nextInt(1000)));
        }
        return drawn;
    }

    // -----------------------------------------------------------------------
    private void draw(long from, long until) {
        if (pattern == FEW_PATTERN) {
            addAnywhere(1 + random.nextInt(MAX_FAULTS_OF_FEW_PATTERN), from, until);
        } else if (pattern == BURST_PATTERN) {
            long start = from + random.nextInt((int) (until - from - BURST_MILLIS));
            addAnywhere(3 + random.nextInt(MAX_FAULTS - 2), start, start + BURST_MILLIS);
        } else if (pattern <= LAST_CLUSTER_PATTERN) {
            for (long start = from;
                    start + CLUSTER_SPAN_MILLIS < until;
                    start += CLUSTER_INTERVAL_MILLIS) {
                addCluster(start);
            }
        } else {
            addAnywhere(3 + random.nextInt(MAX_FAULTS - 2), from, until);
        }
    }

    private void addAnywhere(int count, long from, long until) {
        for (int i = 0; i < count; i++) {
            add(SimulatedFault.Kind.values(), random.nextInt(machines), from, until);
        }
    }

    private void addCluster(long from) {
        int count = 2 + random.nextInt(MAX_IN_CLUSTER - 1);
        int machine = random.nextInt(machines);
        for (int i = 0; i < count; i++) {
            add(SimulatedFault.Kind.listMachineKinds(), machine, from, from + CLUSTER_SPAN_MILLIS);
        }
    }

    private void add(SimulatedFault.Kind[] kinds, int machine, long from, long until) {
        long startMillis = from + random.nextInt((int) (until - from));
        SimulatedFault.Kind kind = kinds[random.nextInt(kinds.length)];
        long durationMillis = 300 + random.nextInt((int) MAX_DURATION_MILLIS - 300);
        if (random.nextInt(4) == 0) {
            long span = MAX_LAPSE_MILLIS - MIN_LAPSE_MILLIS;
            durationMillis = MIN_LAPSE_MILLIS + random.nextInt((int) span);
        } else if (random.nextBoolean()) {
            durationMillis /= 4;
        }
        faults.add(
                new SimulatedFault(
                        startMillis, kind, machine, durationMillis, random.nextInt(1000)));
    }
}
