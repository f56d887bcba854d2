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

/** Temporary faults of store calls, of one process or of all. */
final class StoreFaults {

    private final SimulationEnvironment environment;
    private long unavailableUntil;
    private long refusingUntil;
    private long slowUntil;
    private long losingAnswersUntil;

    StoreFaults(SimulationEnvironment environment) {
        this.environment = environment;
    }

    /** Leaves all calls unanswered for a time; some of them are executed once the store is back. */
    void makeUnavailable(long millis) {
        unavailableUntil = Math.max(unavailableUntil, environment.now() + millis);
    }

    /** Refuses every call at once for a time. */
    void refuseCalls(long millis) {
        refusingUntil = Math.max(refusingUntil, environment.now() + millis);
    }

    /** Slows all calls down for a time. */
    void slowDown(long millis) {
        slowUntil = Math.max(slowUntil, environment.now() + millis);
    }

    /** Executes calls but loses many of their answers for a time. */
    void loseAnswers(long millis) {
        losingAnswersUntil = Math.max(losingAnswersUntil, environment.now() + millis);
    }

    /** Ends all faults. */
    void heal() {
        unavailableUntil = 0;
        refusingUntil = 0;
        slowUntil = 0;
        losingAnswersUntil = 0;
    }

    long getUnavailableMillis() {
        return Math.max(0, unavailableUntil - environment.now());
    }

    boolean isRefusing() {
        return refusingUntil > environment.now();
    }

    boolean isSlow() {
        return slowUntil > environment.now();
    }

    boolean isLosingAnswers() {
        return losingAnswersUntil > environment.now();
    }
}
