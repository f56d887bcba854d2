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

/** Draws the faults of one day from its seed. */
final class FaultPlan {

    /** How long authority and a lease take together, with some time before and after. */
    private static final long FIRST_LAPSE_MILLIS = 8400;

    private static final long LAST_LAPSE_MILLIS = 9800;
    private static final long LONGEST_MILLIS = 10_000;
    private static final int MOST_FAULTS = 16;

    /** The forms of days: with few faults, with a burst, with clusters at one machine each. */
    private static final int FORMS = 5;

    private static final int FEW_FORM = 0;
    private static final int BURST_FORM = 1;
    private static final int LAST_CLUSTER_FORM = 3;
    private static final int FEW_FAULTS = 3;
    private static final long BURST_MILLIS = 6000;
    private static final long CLUSTER_MILLIS = 11_000;
    private static final long TOGETHER_MILLIS = 5000;
    private static final int MOST_IN_CLUSTER = 6;

    private final Random random;
    private final int form;
    private final int machines;
    private final List<SimulatedFault> faults = new ArrayList<>();

    private FaultPlan(long seed, int machines) {
        this.random = new Random(seed * 31 + 7);
        this.form = (int) (seed % FORMS);
        this.machines = machines;
    }

    /** Draws the faults of a day on so many machines, which begin between two times. */
    static List<SimulatedFault> draw(long seed, int machines, long from, long until) {
        FaultPlan plan = new FaultPlan(seed, machines);
        plan.draw(from, until);
        return plan.faults;
    }

    // -----------------------------------------------------------------------
    private void draw(long from, long until) {
        if (form == FEW_FORM) {
            addAnywhere(1 + random.nextInt(FEW_FAULTS), from, until);
        } else if (form == BURST_FORM) {
            long begin = from + random.nextInt((int) (until - from - BURST_MILLIS));
            addAnywhere(3 + random.nextInt(MOST_FAULTS - 2), begin, begin + BURST_MILLIS);
        } else if (form <= LAST_CLUSTER_FORM) {
            for (long begin = from; begin + TOGETHER_MILLIS < until; begin += CLUSTER_MILLIS) {
                addCluster(begin);
            }
        } else {
            addAnywhere(3 + random.nextInt(MOST_FAULTS - 2), from, until);
        }
    }

    private void addAnywhere(int count, long from, long until) {
        for (int i = 0; i < count; i++) {
            add(SimulatedFault.Kind.values(), random.nextInt(machines), from, until);
        }
    }

    private void addCluster(long from) {
        int count = 2 + random.nextInt(MOST_IN_CLUSTER - 1);
        int machine = random.nextInt(machines);
        for (int i = 0; i < count; i++) {
            add(SimulatedFault.Kind.listMachineKinds(), machine, from, from + TOGETHER_MILLIS);
        }
    }

    private void add(SimulatedFault.Kind[] kinds, int machine, long from, long until) {
        long at = from + random.nextInt((int) (until - from));
        SimulatedFault.Kind kind = kinds[random.nextInt(kinds.length)];
        long millis = 300 + random.nextInt((int) LONGEST_MILLIS - 300);
        if (random.nextInt(4) == 0) {
            long span = LAST_LAPSE_MILLIS - FIRST_LAPSE_MILLIS;
            millis = FIRST_LAPSE_MILLIS + random.nextInt((int) span);
        } else if (random.nextBoolean()) {
            millis /= 4;
        }
        faults.add(new SimulatedFault(at, kind, machine, millis, random.nextInt(1000)));
    }
}
