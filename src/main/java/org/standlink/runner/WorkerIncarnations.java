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
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;

/**
 * The lives of workers beside an agent: those that may be there, and those that are over.
 *
 * <p>A heartbeat or a departure may come late, so neither tells which life is the present one; an
 * answered call does.
 *
 * <p>{@code WorkerIncarnations} is not thread-safe; the agent's loop owns it.
 */
final class WorkerIncarnations implements IncarnationListener {

    /** By how much the clock must fall behind at once for a line, in milliseconds. */
    private static final long TOLD_MILLIS = 500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(AgentNode.class);

    /** The calls of workers. */
    private final WorkerClient calls;

    /** The clock. */
    private final MonotonicClock clock;

    /** The loop. */
    private final ScheduledExecutorService loop;

    /** What the leader has granted. */
    private final AgentLease lease;

    /** What the leader believes of images. */
    private final InterferenceTable harm;

    /** Is told when there is something to report. */
    private final Runnable whenChanged;

    /** The lives that may be there. */
    private final Map<WorkerIncarnation, WorkerSupervisor> workers = new LinkedHashMap<>();

    /** The lives that are over. */
    private final EndedIncarnations ended = new EndedIncarnations();

    /**
     * Constructor.
     *
     * @param calls the calls of workers
     * @param clock the clock
     * @param loop the agent's loop
     * @param lease what the leader has granted
     * @param harm what the leader believes of images
     * @param whenChanged is told when there is something to report
     */
    WorkerIncarnations(
            WorkerClient calls,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            AgentLease lease,
            InterferenceTable harm,
            Runnable whenChanged) {
        this.calls = calls;
        this.clock = clock;
        this.loop = loop;
        this.lease = lease;
        this.harm = harm;
        this.whenChanged = whenChanged;
    }

    /**
     * Finds what looks after a life.
     *
     * @param life the life
     * @return its supervisor, null if it is not there
     */
    WorkerSupervisor findSupervisor(WorkerIncarnation life) {
        return workers.get(life);
    }

    /**
     * Lists what looks after the lives that may be there.
     *
     * @return the supervisors
     */
    Collection<WorkerSupervisor> getSupervisors() {
        return List.copyOf(workers.values());
    }

    /**
     * Lists the lives that are over and that the leader is to be told of.
     *
     * @return the lives
     */
    List<WorkerIncarnation> listEnded() {
        return ended.list();
    }

    // -----------------------------------------------------------------------
    /**
     * Takes note of a heartbeat.
     *
     * @param worker what the worker said of itself
     * @param sequence the number of the heartbeat in that life
     */
    void heartbeatReceived(WorkerDescription worker, long sequence) {
        if (ended.contains(worker.incarnation()) || lacksBirth(worker.incarnation())) {
            return;
        }
        WorkerSupervisor present = workers.get(worker.incarnation());
        if (present != null) {
            present.heartbeatReceived(worker, sequence);
            return;
        }
        LOG.info("worker-found")
                .with("worker", worker.incarnation())
                .with("service", worker.service())
                .with("address", worker.address())
                .with("millicores", worker.capacity().milliCores())
                .with("draining", worker.draining())
                .write();
        WorkerSupervisor made =
                new WorkerSupervisor(
                        worker,
                        calls,
                        clock,
                        loop,
                        () -> lease.getEnd(worker.incarnation()),
                        lease::getFence,
                        whenChanged,
                        this,
                        harm);
        workers.put(worker.incarnation(), made);
        made.heartbeatReceived(worker, sequence);
        made.start();
    }

    /** A worker that has told births tells one in each heartbeat; without, it names no life. */
    private boolean lacksBirth(WorkerIncarnation told) {
        boolean lacks =
                !told.hasStartTime()
                        && (ended.hasKnownStartTime(told.getId())
                                || workers.keySet().stream().anyMatch(told::isOtherIncarnationOf));
        if (lacks) {
            LOG.info("heartbeat-without-start-time").with("worker", told).write();
        }
        return lacks;
    }

    /**
     * Takes note that a worker has said that it has left.
     *
     * @param worker its id
     */
    void workerLeft(WorkerId worker) {
        List.copyOf(workers.values()).stream()
                .filter(
                        supervisor ->
                                supervisor.getDescription().incarnation().getId().equals(worker))
                .forEach(WorkerSupervisor::workerLeft);
    }

    @Override
    public void confirmed(WorkerIncarnation worker) {
        ended.identified(worker.getId());
        String address = workers.get(worker).getDescription().address();
        workers.values().stream()
                .map(WorkerSupervisor::getDescription)
                .filter(other -> !other.incarnation().equals(worker))
                .filter(
                        other ->
                                other.address().equals(address)
                                        || other.incarnation().isOtherIncarnationOf(worker))
                .map(WorkerDescription::incarnation)
                .toList()
                .forEach(old -> over(old, "replaced"));
    }

    @Override
    public void replaced(WorkerIncarnation worker, WorkerIncarnation by) {
        boolean unheard = !workers.containsKey(by) || !workers.get(by).isConfirmed();
        if (by != null && unheard) {
            ended.awaitIdentification(by.getId());
        }
        over(worker, by == null ? "another life answers" : by + " answers");
    }

    @Override
    public void departed(WorkerIncarnation worker) {
        over(worker, "left");
    }

    @Override
    public void clockFellBehind(WorkerIncarnation worker, long millis) {
        if (millis >= TOLD_MILLIS) {
            LOG.info("clock-fell-behind").with("worker", worker).with("millis", millis).write();
        }
        lease.compensateClockLag(millis);
    }

    private void over(WorkerIncarnation worker, String reason) {
        WorkerSupervisor supervisor = workers.remove(worker);
        if (supervisor != null) {
            supervisor.close();
            lease.remove(worker);
        }
        if (ended.add(worker, clock.nowMillis())) {
            LOG.info("worker-ended").with("worker", worker).with("reason", reason).write();
            whenChanged.run();
        }
    }
}
