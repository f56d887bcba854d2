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

/**
 * The kinds of simulated days. What a kind adds to a plain day is drawn by a random of its own, so
 * days of one kind stay the same when another kind is added.
 */
enum DayKind {
    /** Only the faults drawn from the seed. */
    PLAIN,
    /** Machines of agents and leaders are suspended. */
    SUSPENDED,
    /** Leaders throw at any read of their clocks. */
    THROWING,
    /** Workers that crash or leave return under their ids. */
    KEPT_IDS,
    /** Halls are evacuated for a time. */
    EVACUATED,
    /** Suspended machines, throwing leaders and kept ids. */
    COMBINED,
    /** Kept ids in halls that are evacuated for a time. */
    KEPT_IDS_EVACUATED,
    /** Suspended machines, throwing leaders, kept ids and evacuated halls. */
    COMBINED_EVACUATED,
    /** Kept ids, with additional faults of the store and changes of leader. */
    KEPT_IDS_STORE_FAULTS,
    /** Kept ids, with additional workers that crash or drain just after a silence. */
    KEPT_IDS_LOST_WORKERS;

    /** Creates a day with the faults of the seed. */
    SimulatedDay create(long seed) {
        return create(seed, drawFaults(seed));
    }

    /** Creates a day with the given faults, which may be some of those of the seed. */
    SimulatedDay create(long seed, List<SimulatedFault> faults) {
        Random suspensionRandom = isSuspended() ? new Random(seed * 17) : null;
        SimulatedDay day = new SimulatedDay(seed, faults, suspensionRandom);
        if (isThrowing()) {
            day.withThrowingLeaders(new Random(seed * 13));
        }
        if (keepsIds()) {
            day.withKeptWorkerIds();
        }
        if (isEvacuated()) {
            day.withEvacuations(new Random(seed * 19));
        }
        return day;
    }

    /** Draws the faults of a seed; suspensions, throws and evacuations are not among them. */
    List<SimulatedFault> drawFaults(long seed) {
        List<SimulatedFault> faults = new ArrayList<>(new SimulatedDay(seed).getFaults());
        if (this == KEPT_IDS_STORE_FAULTS) {
            faults.addAll(SimulatedDay.drawStoreFaults(new Random(seed * 23)));
        }
        if (this == KEPT_IDS_LOST_WORKERS) {
            faults.addAll(SimulatedDay.drawLostWorkers(new Random(seed * 29)));
        }
        return faults;
    }

    // -----------------------------------------------------------------------
    private boolean isSuspended() {
        return this == SUSPENDED || this == COMBINED || this == COMBINED_EVACUATED;
    }

    private boolean isThrowing() {
        return this == THROWING || this == COMBINED || this == COMBINED_EVACUATED;
    }

    private boolean isEvacuated() {
        return this == EVACUATED || this == KEPT_IDS_EVACUATED || this == COMBINED_EVACUATED;
    }

    private boolean keepsIds() {
        return switch (this) {
            case PLAIN, SUSPENDED, THROWING, EVACUATED -> false;
            default -> true;
        };
    }
}
