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
package org.standlink.cell;

import java.util.HashMap;
import java.util.Map;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.LeaseGeneration;
import org.standlink.process.EventLog;
import org.standlink.wire.AgentReport;
import org.standlink.wire.WorkerReport;

/**
 * The agents that were heard, and the generation of each one's lease.
 *
 * <p>Whenever runs are given up because a lease is over, the generation rises: an order of an older
 * one is void at the agent and refused by the worker. Without it, an order that waits for its
 * worker or for a lease begins with the next lease, beside the run that has taken its place.
 *
 * <p>{@code AgentRegistry} is mutable and not thread-safe; the leader's loop owns it.
 */
final class AgentRegistry {

    /** How long an agent may be silent before it is forgotten, in milliseconds; several leases. */
    private static final long FORGET_MILLIS = 60_000;

    /** The log. */
    private static final EventLog LOG = EventLog.of(AgentRegistry.class);

    /** The epoch. */
    private final Epoch epoch;

    /** The workers. */
    private final WorkerRegistry workers;

    /** The agents. */
    private final Map<Incarnation, Entry> agents = new HashMap<>();

    /** The last generation that was given; no two leases share one. */
    private LeaseGeneration last = LeaseGeneration.NONE;

    /** One agent. */
    private static final class Entry {

        /** The machine's name. */
        private final String node;

        /** The generation of its lease, null before the first. */
        private LeaseGeneration generation;

        /** Whether a later process of the agent is at work. */
        private boolean replaced;

        /** The number of its last report. */
        private long sequence;

        /** When it was heard last, on the leader's clock. */
        private long heardAt;

        Entry(String node) {
            this.node = node;
        }
    }

    /**
     * Constructor.
     *
     * @param epoch the epoch
     * @param workers the workers
     */
    AgentRegistry(Epoch epoch, WorkerRegistry workers) {
        this.epoch = epoch;
        this.workers = workers;
    }

    /**
     * Takes note of a report.
     *
     * @param report the report
     * @param now the time on the leader's clock, in milliseconds
     * @return false if a later report, or a later process of the agent, has been heard before, so
     *     that this one is not even to be answered
     */
    boolean accept(AgentReport report, long now) {
        Entry agent = agents.computeIfAbsent(report.incarnation(), key -> new Entry(report.node()));
        if (agent.replaced || report.sequence() <= agent.sequence) {
            LOG.info("late-report")
                    .with("node", report.node())
                    .with("earlier-process", agent.replaced)
                    .write();
            return false;
        }
        agent.sequence = report.sequence();
        agent.heardAt = now;
        boolean asks = report.refused() && report.generation().equals(agent.generation);
        if (agent.generation == null || asks) {
            raiseGeneration(report.incarnation(), asks ? "asked" : "new");
        }
        return true;
    }

    /**
     * Checks whether a report names what this leader has told its sender. Only then does it count:
     * one that was sent before cannot name it, whatever channel it comes over. Its process replaces
     * those of its machine's agent that were heard before it; one that was heard after it may be
     * the present one, though this has yet to count.
     *
     * @param report a report that was accepted
     * @return false if its sender has yet to be told the generation of its lease
     */
    boolean isCurrent(AgentReport report) {
        Entry agent = agents.get(report.incarnation());
        boolean current =
                report.epoch().equals(epoch) && report.generation().equals(agent.generation);
        if (current) {
            agents.values().stream()
                    .filter(other -> other.node.equals(agent.node))
                    .filter(other -> agent.generation.isAfter(other.generation))
                    .forEach(other -> other.replaced = true);
        }
        return current;
    }

    /**
     * Checks whether an agent that does not reach a worker tells of it while another one does. The
     * worker has moved there, so that its silence here says nothing of what runs.
     *
     * @param agent the run of the agent that reports
     * @param part what it reports of the worker
     * @param now the time on the leader's clock, in milliseconds
     * @return true if another agent looks after the worker
     */
    boolean isReachedByAnotherAgent(Incarnation agent, WorkerReport part, long now) {
        WorkerEntry worker = workers.find(part.worker().incarnation());
        return worker != null
                && !part.reachable()
                && worker.isReachable()
                && worker.getAgent() != null
                && !worker.getAgent().equals(agent)
                && now - worker.getLastReportMillis() < WorkerRegistry.REPORT_TIMEOUT_MILLIS;
    }

    /**
     * Gets the generation of an agent's lease.
     *
     * @param agent the run of the agent, null for none
     * @return the generation, the one before the first if it was not heard
     */
    LeaseGeneration getGeneration(Incarnation agent) {
        Entry entry = agents.get(agent);
        return entry == null ? LeaseGeneration.NONE : entry.generation;
    }

    /**
     * Raises the generation of an agent's lease; its workers get nothing until it is told all anew.
     *
     * @param agent the run of the agent, null for none
     * @param reason why, for the log
     */
    void raiseGeneration(Incarnation agent, String reason) {
        Entry entry = agents.get(agent);
        if (entry == null) {
            return;
        }
        last = last.next();
        entry.generation = last;
        workers.getWorkers().stream()
                .filter(worker -> agent.equals(worker.getAgent()))
                .forEach(worker -> worker.setSyncedGeneration(LeaseGeneration.NONE));
        LOG.info("lease-generation")
                .with("agent", agent)
                .with("epoch", epoch)
                .with("generation", last)
                .with("reason", reason)
                .write();
    }

    /**
     * Forgets agents that have been silent for long.
     *
     * @param now the time on the leader's clock, in milliseconds
     */
    void removeUnresponsive(long now) {
        agents.values().removeIf(agent -> now - agent.heardAt > FORGET_MILLIS);
    }
}
