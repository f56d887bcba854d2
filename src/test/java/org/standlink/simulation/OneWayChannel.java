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

/**
 * One direction of a simulated channel. Messages are delivered in order; they can be delayed, or
 * dropped from some moment on.
 */
final class OneWayChannel {

    private final SimulationEnvironment environment;
    private final NetworkPath path;

    /**
     * How long an old channel may stay blocked after new channels work again (retransmission
     * backoff).
     */
    private static final long MAX_BACKOFF_MILLIS = 5000;

    private boolean droppingMessages;
    private long lastDue;
    private long backoffMillis = -1;

    /** The state of the network between two machines in one direction. */
    static final class NetworkPath {

        private final SimulationEnvironment environment;
        private long delayedUntil;
        private long losingUntil;

        NetworkPath(SimulationEnvironment environment) {
            this.environment = environment;
        }

        /**
         * Delays messages for a time; those of one channel then arrive in order, after a backoff.
         */
        void delay(long millis) {
            delayedUntil = Math.max(delayedUntil, environment.now() + millis);
        }

        /**
         * Loses messages for a time; a channel that lost a message drops all later ones as well.
         */
        void loseMessages(long millis) {
            losingUntil = Math.max(losingUntil, environment.now() + millis);
        }

        void heal() {
            delayedUntil = 0;
            losingUntil = 0;
        }

        boolean isOpen() {
            return delayedUntil <= environment.now() && losingUntil <= environment.now();
        }
    }

    OneWayChannel(SimulationEnvironment environment, NetworkPath path) {
        this.environment = environment;
        this.path = path;
    }

    /** Drops all further messages. */
    void dropMessages() {
        droppingMessages = true;
    }

    /** Delays the messages sent from now on; other channels are not affected. */
    void delay(long millis) {
        lastDue = Math.max(lastDue, environment.now() + millis);
    }

    void send(Runnable delivery) {
        if (path.losingUntil > environment.now()) {
            droppingMessages = true;
        }
        if (droppingMessages) {
            return;
        }
        long due = Math.max(path.delayedUntil, environment.now()) + environment.draw(1, 4);
        if (path.delayedUntil > environment.now()) {
            if (backoffMillis < 0) {
                backoffMillis =
                        environment.chance(50) ? environment.draw(0, MAX_BACKOFF_MILLIS) : 0;
            }
            due += backoffMillis;
        }
        lastDue = Math.max(lastDue, due);
        environment.schedule(lastDue - environment.now(), delivery);
    }
}
