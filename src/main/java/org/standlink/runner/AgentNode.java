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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.standlink.Epoch;
import org.standlink.Fence;
import org.standlink.Incarnation;
import org.standlink.election.LeaderClient;
import org.standlink.election.LeaderObserver;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.lease.MonotonicClock;
import org.standlink.policy.InterferenceTable;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.wire.AgentGrant;
import org.standlink.wire.AgentReport;
import org.standlink.wire.Connection;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.RunOrders;
import org.standlink.wire.WorkerReport;

/**
 * The agent of a machine: looks after its workers, reports to the leader and holds its lease.
 *
 * <p>{@code AgentNode} is thread-safe: every call is handed to the loop.
 */
public final class AgentNode implements WorkerListener {

    /** The time between two looks at whether a report is due, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    /**
     * How long the leader's answer is waited for, in milliseconds; less than its silence allowed.
     */
    private static final long ANSWER_MILLIS = 1000;

    /** How long changes are gathered before they are reported, in milliseconds. */
    private static final long GATHER_MILLIS = 3;

    /** The log. */
    private static final EventLog LOG = EventLog.of(AgentNode.class);

    /** The machine's name. */
    private final String node;

    /** Where this process listens, host and port. */
    private final String address;

    /** The run of this process. */
    private final Incarnation self;

    /** The leader. */
    private final LeaderClient leader;

    /** The clock. */
    private final MonotonicClock clock;

    /** The loop. */
    private final ScheduledExecutorService loop;

    /** Is told what this agent sees of the leader. */
    private final LeaderObserver observer;

    /** What the leader believes of images. */
    private final InterferenceTable harm = new InterferenceTable();

    /** What the leader has granted. */
    private final AgentLease lease = new AgentLease(this::epoch);

    /** The workers beside this agent. */
    private final WorkerIncarnations workers;

    /** The number of the last report. */
    private long lastReport;

    /** When the last report was sent. */
    private long reportedAt;

    /** Whether a report is under way. */
    private boolean reporting;

    /** Whether there is something to report. */
    private boolean changed;

    /** Whether the leader answered the last report. */
    private boolean answered;

    /**
     * Constructor.
     *
     * @param node the machine's name
     * @param address where this process listens, host and port
     * @param self the run of this process
     * @param leader the leader
     * @param calls the calls of workers
     * @param clock the clock
     * @param loop the loop, of one thread
     * @param observer is told what this agent sees of the leader
     * @param evacuated the halls that this process knows to be evacuated
     */
    public AgentNode(
            String node,
            String address,
            Incarnation self,
            LeaderClient leader,
            WorkerClient calls,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            LeaderObserver observer,
            Supplier<EvacuatedHalls> evacuated) {
        this.node = node;
        this.address = address;
        this.self = self;
        this.leader = leader;
        this.clock = clock;
        this.loop = loop;
        this.observer = observer;
        this.workers =
                new WorkerIncarnations(
                        new EvacuationGuard(calls, evacuated),
                        clock,
                        loop,
                        lease,
                        harm,
                        this::changed);
    }

    /** Begins to report. */
    public void start() {
        Guarded.repeat("report", loop, LOOK_MILLIS, this::beat);
    }

    // -----------------------------------------------------------------------
    @Override
    public void heartbeatReceived(WorkerDescription worker, long sequence) {
        loop.execute(() -> workers.heartbeatReceived(worker, sequence));
    }

    @Override
    public void workerLeft(WorkerId worker) {
        loop.execute(() -> workers.workerLeft(worker));
    }

    /**
     * Takes a message of the leader.
     *
     * @param connection where it came from
     * @param call the number to answer under
     * @param message the message
     */
    public void handle(Connection connection, long call, Message message) {
        if (message instanceof RunOrders orders) {
            loop.execute(() -> order(orders));
        }
    }

    // -----------------------------------------------------------------------
    private Epoch epoch() {
        return leader.getLeader().epoch();
    }

    private void order(RunOrders orders) {
        Fence told = Fence.of(orders.epoch(), orders.generation());
        adopt(told);
        if (lease.getFence().isAfter(told)) {
            LOG.info("orders-of-older-leader")
                    .with("fence", told)
                    .with("known", lease.getFence())
                    .write();
            return;
        }
        WorkerSupervisor supervisor = workers.findSupervisor(orders.worker());
        if (supervisor != null) {
            supervisor.applyOrders(orders);
        }
    }

    /** Whatever an older fence ordered and has not begun is void; the leader tells it anew. */
    private void adopt(Fence told) {
        if (lease.adopt(told)) {
            LOG.info("fence-raised").with("fence", told).write();
            workers.getSupervisors().forEach(WorkerSupervisor::fenceRaised);
            // The leader heeds only reports that name what it has told.
            changed();
        }
    }

    // -----------------------------------------------------------------------
    private void changed() {
        if (!changed) {
            changed = true;
            loop.schedule(this::reportIfChanged, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportIfChanged() {
        if (changed && !reporting) {
            report();
        }
    }

    private void beat() {
        long now = clock.nowMillis();
        long pause = ReportInterval.getIntervalMillis(lease.getEnds(), now);
        if (!reporting && now - reportedAt >= pause) {
            report();
        }
    }

    /** A report that cannot even be made must not keep this agent from the next. */
    private void report() {
        reporting = true;
        boolean sent = false;
        try {
            sendReport();
            sent = true;
        } finally {
            reporting = sent;
        }
    }

    private void sendReport() {
        changed = false;
        reportedAt = clock.nowMillis();
        long sentAt = lease.markTime(reportedAt);
        workers.getSupervisors().forEach(WorkerSupervisor::dropOrdersIfLapsed);
        Map<WorkerIncarnation, WorkerReport> sent = new LinkedHashMap<>();
        for (WorkerSupervisor supervisor : workers.getSupervisors()) {
            // What never answered may be a late heartbeat of a life that is over.
            if (supervisor.isConfirmed()) {
                sent.put(supervisor.getDescription().incarnation(), supervisor.createReport());
            }
        }
        Fence fence = lease.getFence();
        AgentReport report =
                new AgentReport(
                        node,
                        address,
                        self,
                        ++lastReport,
                        fence.getEpoch(),
                        fence.getGeneration(),
                        workers.getSupervisors().stream()
                                .anyMatch(WorkerSupervisor::isFenceRefused),
                        List.copyOf(sent.values()),
                        workers.listEnded());
        Guarded.thenOn(
                "report-answer",
                leader.call(report, ANSWER_MILLIS),
                loop,
                (answer, failure) -> reported(answer, failure, sent, sentAt));
    }

    private void reported(
            Message answer,
            Throwable failure,
            Map<WorkerIncarnation, WorkerReport> sent,
            long sentAt) {
        reporting = false;
        if (answer instanceof LeaderNotice notice) {
            boolean other = notice.epoch().compareTo(epoch()) > 0;
            leader.offer(notice, "another process");
            if (!other) {
                observer.leaderAbsent();
            }
        } else if (LeaderClient.isConnectionRefused(failure)) {
            observer.leaderAbsent();
        }
        boolean granted =
                answer instanceof AgentGrant grant && grant.epoch().compareTo(epoch()) >= 0;
        if (granted != answered) {
            answered = granted;
            LOG.info(granted ? "leader-regained" : "leader-lost")
                    .with("epoch", epoch())
                    .with("cause", failure)
                    .write();
        }
        if (granted) {
            AgentGrant grant = (AgentGrant) answer;
            // First, so that no order of an older generation gets the lease that this one grants.
            adopt(Fence.of(grant.epoch(), grant.generation()));
            observer.leaderAnswered(grant.storeSilentMillis());
            harm.putAll(grant.harm());
            if (grant.leaseMillis() > 0) {
                lease.extend(sent.keySet(), sentAt, grant.leaseMillis());
                sent.forEach(this::reported);
            }
        }
        if (failure != null) {
            loop.schedule(this::reportAgain, ReportInterval.RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else if (changed) {
            loop.schedule(this::reportIfChanged, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        } else if (ReportInterval.isLoadingState(answer)) {
            loop.schedule(
                    this::reportAgain, ReportInterval.LOADING_STATE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportAgain() {
        if (!reporting) {
            report();
        }
    }

    private void reported(WorkerIncarnation id, WorkerReport report) {
        WorkerSupervisor supervisor = workers.findSupervisor(id);
        if (supervisor != null) {
            supervisor.reportAcknowledged(report);
        }
    }
}
