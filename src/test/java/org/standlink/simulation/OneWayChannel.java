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
 * One direction of a channel: keeps the order, may hold messages up, and may go silent for good.
 */
final class OneWayChannel {

    private final SimulationEnvironment world;
    private final NetworkPath direction;

    /** How much later a channel that was held up may go on than new ones work. */
    private static final long LONGEST_BACKOFF_MILLIS = 5000;

    private boolean dead;
    private long lastDue;
    private long backoffMillis = -1;

    /** The state of the way between two machines in one direction. */
    static final class NetworkPath {

        private final SimulationEnvironment world;
        private long heldUntil;
        private long losesUntil;

        NetworkPath(SimulationEnvironment world) {
            this.world = world;
        }

        /** Holds messages up for a while; those of one channel come in order, some time after. */
        void delay(long millis) {
            heldUntil = Math.max(heldUntil, world.now() + millis);
        }

        /** Loses messages for a while; a channel that lost one says nothing more. */
        void loseMessages(long millis) {
            losesUntil = Math.max(losesUntil, world.now() + millis);
        }

        void heal() {
            heldUntil = 0;
            losesUntil = 0;
        }

        boolean isOpen() {
            return heldUntil <= world.now() && losesUntil <= world.now();
        }
    }

    OneWayChannel(SimulationEnvironment world, NetworkPath direction) {
        this.world = world;
        this.direction = direction;
    }

    /** Lets nothing through any more. */
    void dropMessages() {
        dead = true;
    }

    /** Holds up what is sent from now on; other channels are not concerned. */
    void delay(long millis) {
        lastDue = Math.max(lastDue, world.now() + millis);
    }

    void send(Runnable arrival) {
        if (direction.losesUntil > world.now()) {
            dead = true;
        }
        if (dead) {
            return;
        }
        long due = Math.max(direction.heldUntil, world.now()) + world.draw(1, 4);
        if (direction.heldUntil > world.now()) {
            if (backoffMillis < 0) {
                backoffMillis = world.chance(50) ? world.draw(0, LONGEST_BACKOFF_MILLIS) : 0;
            }
            due += backoffMillis;
        }
        lastDue = Math.max(lastDue, due);
        world.schedule(lastDue - world.now(), arrival);
    }
}
