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
 * A fault of a simulated day.
 *
 * @param startMillis the start in milliseconds since the start of the day
 * @param kind the kind of the fault
 * @param machine the index of the machine, for faults of a machine
 * @param durationMillis the duration in milliseconds
 * @param variant a drawn number that selects among the variants of the kind
 */
record SimulatedFault(long startMillis, Kind kind, int machine, long durationMillis, int variant) {

    /** The kinds of faults. Kinds are drawn by ordinal, so the order of the constants is fixed. */
    enum Kind {
        /** The store answers no process. */
        STORE_UNAVAILABLE,
        /** The store refuses all calls. */
        STORE_REFUSES,
        /** The store answers slowly. */
        STORE_SLOW,
        /** Calls of the store are executed, and many answers are lost. */
        STORE_ANSWERS_LOST,
        /** The store does not answer the newest leader. */
        LEADER_STORE_UNAVAILABLE,
        /** Some calls of an agent to its worker stay unanswered or are refused. */
        WORKER_UNRELIABLE,
        /** No call of an agent to its worker is answered. */
        WORKER_UNRESPONSIVE,
        /** A worker crashes, and another incarnation starts. */
        WORKER_CRASH,
        /** A worker drains and ends, and another incarnation starts later. */
        WORKER_DRAINS,
        /** Messages between an agent and the leader are delayed. */
        LINK_DELAYED,
        /** Messages between an agent and the leader are lost. */
        LINK_LOST,
        /** Messages of the open channel to the leader are dropped, while new channels work. */
        CHANNEL_MESSAGES_DROPPED,
        /** An agent process ends and is restarted. */
        AGENT_RESTART,
        /** The event loop of an agent is frozen. */
        AGENT_FROZEN,
        /** The leader is frozen, and another one starts meanwhile. */
        LEADER_OVERTAKEN,
        /** The leader is partitioned from the store for a long time, and another one starts. */
        LEADER_PARTITIONED,
        /** Another leader starts, while the previous one still considers itself the leader. */
        LEADER_REPLACED,
        /** The leader process ends, and another leader starts. */
        LEADER_CRASH,
        /** The event loop or the whole process of the leader is frozen. */
        LEADER_FROZEN;

        /** Lists the kinds drawn for clusters of faults at one machine. */
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

        /** Lists the kinds drawn as additional faults of the store and changes of leader. */
        static Kind[] listStoreAndLeaderKinds() {
            return new Kind[] {
                STORE_UNAVAILABLE,
                STORE_REFUSES,
                STORE_SLOW,
                STORE_ANSWERS_LOST,
                LEADER_STORE_UNAVAILABLE,
                LEADER_OVERTAKEN,
                LEADER_REPLACED,
                LEADER_CRASH
            };
        }
    }
}
