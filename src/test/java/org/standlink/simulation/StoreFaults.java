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

/** What hinders calls of the store for a while, for one process or for all. */
final class StoreFaults {

    private final SimulationEnvironment world;
    private long awayUntil;
    private long refusesUntil;
    private long slowUntil;
    private long losesUntil;

    StoreFaults(SimulationEnvironment world) {
        this.world = world;
    }

    /** No call is answered for a while; some of them are done once the store is back. */
    void makeUnavailable(long millis) {
        awayUntil = Math.max(awayUntil, world.now() + millis);
    }

    /** Every call is refused at once for a while. */
    void refuseCalls(long millis) {
        refusesUntil = Math.max(refusesUntil, world.now() + millis);
    }

    /** Calls take long for a while. */
    void slowDown(long millis) {
        slowUntil = Math.max(slowUntil, world.now() + millis);
    }

    /** Calls are done for a while, and many are not answered. */
    void loseAnswers(long millis) {
        losesUntil = Math.max(losesUntil, world.now() + millis);
    }

    /** Ends all that hinders. */
    void heal() {
        awayUntil = 0;
        refusesUntil = 0;
        slowUntil = 0;
        losesUntil = 0;
    }

    long getUnavailableMillis() {
        return Math.max(0, awayUntil - world.now());
    }

    boolean isRefusing() {
        return refusesUntil > world.now();
    }

    boolean isSlow() {
        return slowUntil > world.now();
    }

    boolean isLosingAnswers() {
        return losesUntil > world.now();
    }
}
