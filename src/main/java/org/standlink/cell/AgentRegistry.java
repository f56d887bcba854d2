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
 * The agents that have reported to this leader, and the generation of each agent's lease.
 *
 * <p>The generation is raised whenever runs are abandoned because a lease has expired: the agent
 * drops orders of an earlier generation and the worker refuses them. Otherwise an order that waits
 * for its worker or for a lease would be carried out under the next lease, beside the run that has
 * replaced it.
 *
 * <p>{@code AgentRegistry} is mutable and not thread-safe; it is confined to the leader's event
 * loop.
 */
final class AgentRegistry {

    /** How long an agent may be silent before it is removed, in milliseconds; several leases. */
    private static final long RETENTION_MILLIS = 60_000;

    private static final EventLog LOG = EventLog.of(AgentRegistry.class);

    private final Epoch epoch;
    private final WorkerRegistry workers;
    private final Map<Incarnation, Entry> agents = new HashMap<>();

    /** The generation assigned last; no two leases share one. */
    private LeaseGeneration lastGeneration = LeaseGeneration.NONE;

    /** The state of one agent process. */
    private static final class Entry {

        /** The name of the agent's machine. */
        private final String node;

        /** The generation of its lease, null before the first. */
        private LeaseGeneration generation;

        /** Whether a later process of the same agent is running. */
        private boolean replaced;

        /** The number of its last report. */
        private long sequence;

        /** When its last report was received, on the leader's clock. */
        private long lastReportMillis;

        Entry(String node) {
            this.node = node;
        }
    }

    AgentRegistry(Epoch epoch, WorkerRegistry workers) {
        this.epoch = epoch;
        this.workers = workers;
    }

    /**
     * Registers a report, unless a later one has been received.
     *
     * @param report the report
     * @param now the time on the leader's clock, in milliseconds
     * @return false if a later report, or a report of a later process of the agent, has been
     *     received before, so that this one is not even answered
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
        agent.lastReportMillis = now;
        boolean raiseRequested = report.refused() && report.generation().equals(agent.generation);
        if (agent.generation == null || raiseRequested) {
            raiseGeneration(report.incarnation(), raiseRequested ? "asked" : "new");
        }
        return true;
    }

    /**
     * Checks whether a report names the epoch and generation that this leader has sent to the
     * agent. Only such a report is evaluated: one that was sent earlier cannot name them, whichever
     * connection it arrives on. A current report marks the processes of the same machine's agent
     * that have an earlier generation as replaced; one that has a later generation may be the
     * present process, although none of its reports has been evaluated yet.
     *
     * @param report a report that was accepted
     * @return false if the agent has not received the generation of its lease yet
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
     * Checks whether a worker that the reporting agent cannot reach is reached by another agent.
     * The worker has then moved to the other agent, and its silence here says nothing about its
     * runs.
     *
     * @param agent the incarnation of the reporting agent
     * @param part what it reports about the worker
     * @param now the time on the leader's clock, in milliseconds
     * @return true if another agent reaches the worker
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
     * @param agent the incarnation of the agent, null for none
     * @return the generation, {@link LeaseGeneration#NONE} if the agent is not registered
     */
    LeaseGeneration getGeneration(Incarnation agent) {
        Entry entry = agents.get(agent);
        return entry == null ? LeaseGeneration.NONE : entry.generation;
    }

    /**
     * Raises the generation of an agent's lease. Each of its workers receives no other orders until
     * all its orders have been sent again under the new generation.
     *
     * @param agent the incarnation of the agent, null for none
     * @param reason the reason, for the log
     */
    void raiseGeneration(Incarnation agent, String reason) {
        Entry entry = agents.get(agent);
        if (entry == null) {
            return;
        }
        lastGeneration = lastGeneration.next();
        entry.generation = lastGeneration;
        workers.getWorkers().stream()
                .filter(worker -> agent.equals(worker.getAgent()))
                .forEach(worker -> worker.setSyncedGeneration(LeaseGeneration.NONE));
        LOG.info("lease-generation")
                .with("agent", agent)
                .with("epoch", epoch)
                .with("generation", lastGeneration)
                .with("reason", reason)
                .write();
    }

    /**
     * Removes agents that have not reported for a long time.
     *
     * @param now the time on the leader's clock, in milliseconds
     */
    void removeUnresponsive(long now) {
        agents.values().removeIf(agent -> now - agent.lastReportMillis > RETENTION_MILLIS);
    }
}
