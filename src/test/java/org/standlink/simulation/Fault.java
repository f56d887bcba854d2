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
 * One fault of a simulated day.
 *
 * @param at when it begins, since the start of the day
 * @param kind what it is
 * @param machine the number of the machine, if it is about one
 * @param millis how long it lasts
 * @param choice picks among its forms
 */
record Fault(long at, Kind kind, int machine, long millis, int choice) {

    /** What may happen. */
    enum Kind {
        /** The store answers nobody. */
        STORE_AWAY,
        /** The store refuses all. */
        STORE_REFUSES,
        /** The store is slow. */
        STORE_SLOW,
        /** The store's answers are lost. */
        STORE_UNHEARD,
        /** The newest leader alone has no store. */
        STORE_CUT,
        /** Calls of an agent to its worker stay without an answer. */
        WORKER_UNSURE,
        /** A worker cannot be reached. */
        WORKER_SILENT,
        /** A worker crashes, and another life begins. */
        WORKER_CRASH,
        /** A worker says that it leaves, and another life begins later. */
        WORKER_LEAVES,
        /** Messages between an agent and the leader are held up. */
        LINK_HELD,
        /** Messages between an agent and the leader are lost. */
        LINK_LOST,
        /** The open channel goes silent, while new ones work. */
        CHANNEL_SILENT,
        /** An agent process is started anew. */
        AGENT_RESTART,
        /** An agent's process stands still. */
        AGENT_FROZEN,
        /** The leader stands still, and another one begins meanwhile. */
        LEADER_OVERTAKEN,
        /** The leader is cut off from the store for long, and another one begins. */
        LEADER_CUT_OFF,
        /** Another leader begins; the one before believes that it still leads. */
        LEADER_REPLACED,
        /** The leader's process ends, and another leader begins. */
        LEADER_CRASH,
        /** The leader's loop, or all of its process, stands still. */
        LEADER_FROZEN;

        /** Lists those that are about one machine. */
        static Kind[] ofMachines() {
            return new Kind[] {
                WORKER_UNSURE,
                WORKER_SILENT,
                WORKER_CRASH,
                LINK_HELD,
                LINK_LOST,
                CHANNEL_SILENT,
                AGENT_RESTART,
                AGENT_FROZEN
            };
        }
    }
}
