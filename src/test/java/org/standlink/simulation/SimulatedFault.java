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
 * @param startMillis when it begins, since the start of the day
 * @param kind what it is
 * @param machine the number of the machine, if it is about one
 * @param durationMillis how long it lasts
 * @param variant picks among its forms
 */
record SimulatedFault(long startMillis, Kind kind, int machine, long durationMillis, int variant) {

    /** What may happen. */
    enum Kind {
        /** The store answers nobody. */
        STORE_UNAVAILABLE,
        /** The store refuses all. */
        STORE_REFUSES,
        /** The store is slow. */
        STORE_SLOW,
        /** The store's answers are lost. */
        STORE_ANSWERS_LOST,
        /** The newest leader alone has no store. */
        LEADER_STORE_UNAVAILABLE,
        /** Calls of an agent to its worker stay without an answer. */
        WORKER_UNRELIABLE,
        /** A worker cannot be reached. */
        WORKER_UNRESPONSIVE,
        /** A worker crashes, and another life begins. */
        WORKER_CRASH,
        /** A worker says that it leaves, and another life begins later. */
        WORKER_DRAINS,
        /** Messages between an agent and the leader are held up. */
        LINK_DELAYED,
        /** Messages between an agent and the leader are lost. */
        LINK_LOST,
        /** The open channel goes silent, while new ones work. */
        CHANNEL_MESSAGES_DROPPED,
        /** An agent process is started anew. */
        AGENT_RESTART,
        /** An agent's process stands still. */
        AGENT_FROZEN,
        /** The leader stands still, and another one begins meanwhile. */
        LEADER_OVERTAKEN,
        /** The leader is cut off from the store for long, and another one begins. */
        LEADER_PARTITIONED,
        /** Another leader begins; the one before believes that it still leads. */
        LEADER_REPLACED,
        /** The leader's process ends, and another leader begins. */
        LEADER_CRASH,
        /** The leader's loop, or all of its process, stands still. */
        LEADER_FROZEN;

        /** Lists those that are about one machine. */
        static Kind[] listMachineKinds() {
            return new Kind[] {
                WORKER_UNRELIABLE,
                WORKER_UNRESPONSIVE,
                WORKER_CRASH,
                LINK_DELAYED,
                LINK_LOST,
                CHANNEL_MESSAGES_DROPPED,
                AGENT_RESTART,
                AGENT_FROZEN
            };
        }
    }
}
