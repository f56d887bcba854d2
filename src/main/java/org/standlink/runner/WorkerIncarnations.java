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
package org.standlink.runner;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.standlink.job.RunId;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;

/**
 * The incarnations of the workers of an agent: those that may be running, and those that have
 * ended.
 *
 * <p>A heartbeat or a departure message may arrive late, so neither shows which incarnation is the
 * current one; an answered call does.
 *
 * <p>{@code WorkerIncarnations} is not thread-safe; it is confined to the agent's event loop.
 */
final class WorkerIncarnations implements IncarnationListener {

    /** The minimum lag of the clock that is logged, in milliseconds. */
    private static final long LOGGED_LAG_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(AgentNode.class);

    private final WorkerClient client;

    private final MonotonicClock clock;

    private final ScheduledExecutorService loop;

    private final AgentLease lease;

    /** The leader's interference estimates. */
    private final InterferenceTable interference;

    /** Called when there is something to report. */
    private final Runnable onChange;

    /** The supervisors of the incarnations that may be running. */
    private final Map<WorkerIncarnation, WorkerSupervisor> supervisors = new LinkedHashMap<>();

    /** The incarnations that have ended. */
    private final EndedIncarnations ended = new EndedIncarnations();

    /** The start calls to ended incarnations that later ones may still carry out. */
    private final InDoubtStarts inDoubtStarts = new InDoubtStarts();

    WorkerIncarnations(
            WorkerClient client,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            AgentLease lease,
            InterferenceTable interference,
            Runnable onChange) {
        this.client = client;
        this.clock = clock;
        this.loop = loop;
        this.lease = lease;
        this.interference = interference;
        this.onChange = onChange;
    }

    /**
     * Finds the supervisor of an incarnation.
     *
     * @param incarnation the incarnation
     * @return the supervisor, null if there is none
     */
    WorkerSupervisor findSupervisor(WorkerIncarnation incarnation) {
        return supervisors.get(incarnation);
    }

    /**
     * Gets the supervisors of the incarnations that may be running.
     *
     * @return the supervisors
     */
    Collection<WorkerSupervisor> getSupervisors() {
        return List.copyOf(supervisors.values());
    }

    /**
     * Lists the ended incarnations that are to be reported to the leader.
     *
     * @return the incarnations
     */
    List<WorkerIncarnation> listEnded() {
        return ended.list();
    }

    /**
     * Lists the runs of ended incarnations that later incarnations may still start.
     *
     * @return the runs
     */
    List<RunId> listInDoubt() {
        return inDoubtStarts.list(clock.nowMillis());
    }

    // -----------------------------------------------------------------------
    /**
     * Handles a heartbeat.
     *
     * @param worker the description in the heartbeat
     * @param sequence the sequence number of the heartbeat within the incarnation
     */
    void heartbeatReceived(WorkerDescription worker, long sequence) {
        if (ended.contains(worker.incarnation()) || lacksStartTime(worker.incarnation())) {
            return;
        }
        WorkerSupervisor existing = supervisors.get(worker.incarnation());
        if (existing != null) {
            existing.heartbeatReceived(worker, sequence);
            return;
        }
        LOG.info("worker-found")
                .with("worker", worker.incarnation())
                .with("service", worker.service())
                .with("address", worker.address())
                .with("millicores", worker.capacity().milliCores())
                .with("draining", worker.draining())
                .write();
        WorkerSupervisor supervisor =
                new WorkerSupervisor(
                        worker,
                        client,
                        clock,
                        loop,
                        () -> lease.getEnd(worker.incarnation()),
                        lease::getFence,
                        onChange,
                        this,
                        interference);
        supervisors.put(worker.incarnation(), supervisor);
        supervisor.heartbeatReceived(worker, sequence);
        supervisor.start(inDoubtStarts);
    }

    /**
     * A worker that has reported start times does so in each heartbeat; a heartbeat without one
     * does not identify an incarnation of it.
     */
    private boolean lacksStartTime(WorkerIncarnation incarnation) {
        boolean lacks =
                !incarnation.hasStartTime()
                        && (ended.hasKnownStartTime(incarnation.getId())
                                || supervisors.keySet().stream()
                                        .anyMatch(incarnation::isOtherIncarnationOf));
        if (lacks) {
            LOG.info("heartbeat-without-start-time").with("worker", incarnation).write();
        }
        return lacks;
    }

    /**
     * Handles a departure message.
     *
     * @param worker the id of the worker
     */
    void workerLeft(WorkerId worker) {
        List.copyOf(supervisors.values()).stream()
                .filter(
                        supervisor ->
                                supervisor.getDescription().incarnation().getId().equals(worker))
                .forEach(WorkerSupervisor::workerLeft);
    }

    @Override
    public void confirmed(WorkerIncarnation worker) {
        ended.identified(worker.getId());
        String address = supervisors.get(worker).getDescription().address();
        supervisors.values().stream()
                .map(WorkerSupervisor::getDescription)
                .filter(other -> !other.incarnation().equals(worker))
                .filter(
                        other ->
                                other.address().equals(address)
                                        || other.incarnation().isOtherIncarnationOf(worker))
                .map(WorkerDescription::incarnation)
                .toList()
                .forEach(old -> markEnded(old, "replaced"));
    }

    @Override
    public void replaced(WorkerIncarnation worker, WorkerIncarnation replacement) {
        boolean unconfirmed =
                !supervisors.containsKey(replacement)
                        || !supervisors.get(replacement).isConfirmed();
        if (replacement != null && unconfirmed) {
            ended.awaitIdentification(replacement.getId());
        }
        markEnded(
                worker,
                replacement == null ? "another incarnation answers" : replacement + " answers");
    }

    @Override
    public void departed(WorkerIncarnation worker) {
        markEnded(worker, "left");
    }

    @Override
    public void clockFellBehind(WorkerIncarnation worker, long lagMillis) {
        if (lagMillis >= LOGGED_LAG_MILLIS) {
            LOG.info("clock-fell-behind").with("worker", worker).with("millis", lagMillis).write();
        }
        lease.compensateClockLag(lagMillis);
    }

    private void markEnded(WorkerIncarnation worker, String reason) {
        WorkerSupervisor supervisor = supervisors.remove(worker);
        if (supervisor != null) {
            inDoubtStarts.addAll(supervisor.getInDoubtStarts(), clock.nowMillis());
            supervisor.close();
            lease.remove(worker);
        }
        if (ended.add(worker, clock.nowMillis())) {
            LOG.info("worker-ended").with("worker", worker).with("reason", reason).write();
            onChange.run();
        }
    }
}
