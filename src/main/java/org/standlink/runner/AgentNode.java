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
 * The agent of a machine: supervises its workers, reports to the leader and holds its lease.
 *
 * <p>{@code AgentNode} is thread-safe: every call is executed on the event loop.
 */
public final class AgentNode implements WorkerListener {

    /** The interval of the checks whether a report is due, in milliseconds. */
    private static final long REPORT_CHECK_INTERVAL_MILLIS = 100;

    /**
     * The timeout of a report, in milliseconds; shorter than the time without an answer after which
     * the leader is suspected.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 1000;

    /** The time for which changes are collected before they are reported, in milliseconds. */
    private static final long CHANGE_BATCHING_MILLIS = 3;

    private static final EventLog LOG = EventLog.of(AgentNode.class);

    private final String node;

    /** The address at which this process listens, host and port. */
    private final String address;

    private final Incarnation incarnation;

    private final LeaderClient leader;

    private final MonotonicClock clock;

    private final ScheduledExecutorService loop;

    private final LeaderObserver observer;

    /** The leader's interference estimates. */
    private final InterferenceTable interference = new InterferenceTable();

    private final AgentLease lease = new AgentLease(this::getEpoch);

    private final WorkerIncarnations workers;

    private long lastReportNumber;

    /** The time of the last report, on the agent's clock, in milliseconds. */
    private long lastReportSentAt;

    private boolean reportInProgress;

    /** Whether there is an unreported change. */
    private boolean changePending;

    /** Whether the leader answered the last report. */
    private boolean leaderAnswering;

    /**
     * Creates an agent.
     *
     * @param node the machine's name
     * @param address the address at which this process listens, host and port
     * @param incarnation the incarnation of this process
     * @param leader the client of the leader
     * @param client the client of the workers
     * @param clock the clock
     * @param loop the event loop, of one thread
     * @param observer observes the availability of the leader
     * @param evacuatedHalls supplies the halls that this process knows to be evacuated
     */
    public AgentNode(
            String node,
            String address,
            Incarnation incarnation,
            LeaderClient leader,
            WorkerClient client,
            MonotonicClock clock,
            ScheduledExecutorService loop,
            LeaderObserver observer,
            Supplier<EvacuatedHalls> evacuatedHalls) {
        this.node = node;
        this.address = address;
        this.incarnation = incarnation;
        this.leader = leader;
        this.clock = clock;
        this.loop = loop;
        this.observer = observer;
        this.workers =
                new WorkerIncarnations(
                        new EvacuationGuard(client, evacuatedHalls),
                        clock,
                        loop,
                        lease,
                        interference,
                        this::scheduleReport);
    }

    /** Starts reporting. */
    public void start() {
        Guarded.scheduleRepeating("report", loop, REPORT_CHECK_INTERVAL_MILLIS, this::reportIfDue);
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
     * Handles a message of the leader.
     *
     * @param connection the connection on which it was received
     * @param call the number of the call
     * @param message the message
     */
    public void handle(Connection connection, long call, Message message) {
        if (message instanceof RunOrders orders) {
            loop.execute(() -> applyOrders(orders));
        }
    }

    // -----------------------------------------------------------------------
    private Epoch getEpoch() {
        return leader.getLeader().epoch();
    }

    private void applyOrders(RunOrders orders) {
        Fence fence = Fence.of(orders.epoch(), orders.generation());
        adoptFence(fence);
        if (lease.getFence().isAfter(fence)) {
            LOG.info("orders-of-older-leader")
                    .with("fence", fence)
                    .with("known", lease.getFence())
                    .write();
            return;
        }
        WorkerSupervisor supervisor = workers.findSupervisor(orders.worker());
        if (supervisor != null) {
            supervisor.applyOrders(orders);
        }
    }

    /**
     * Start orders of an earlier fence that have not been carried out are superseded; the leader
     * sends them again.
     */
    private void adoptFence(Fence fence) {
        if (lease.adopt(fence)) {
            LOG.info("fence-raised").with("fence", fence).write();
            workers.getSupervisors().forEach(WorkerSupervisor::fenceRaised);
            // The leader ignores reports that do not name its latest fence.
            scheduleReport();
        }
    }

    // -----------------------------------------------------------------------
    private void scheduleReport() {
        if (!changePending) {
            changePending = true;
            loop.schedule(this::reportIfChanged, CHANGE_BATCHING_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportIfChanged() {
        if (changePending && !reportInProgress) {
            report();
        }
    }

    private void reportIfDue() {
        long now = clock.nowMillis();
        long intervalMillis = ReportInterval.getIntervalMillis(lease.getEnds(), now);
        if (!reportInProgress && now - lastReportSentAt >= intervalMillis) {
            report();
        }
    }

    /** A report that cannot be created must not prevent the next one. */
    private void report() {
        reportInProgress = true;
        boolean sent = false;
        try {
            sendReport();
            sent = true;
        } finally {
            reportInProgress = sent;
        }
    }

    private void sendReport() {
        changePending = false;
        lastReportSentAt = clock.nowMillis();
        long sentAt = lease.markTime(lastReportSentAt);
        workers.getSupervisors().forEach(WorkerSupervisor::dropOrdersIfLapsed);
        Map<WorkerIncarnation, WorkerReport> sent = new LinkedHashMap<>();
        for (WorkerSupervisor supervisor : workers.getSupervisors()) {
            // One that never answered may stem from a late heartbeat of an ended incarnation.
            if (supervisor.isConfirmed()) {
                sent.put(supervisor.getDescription().incarnation(), supervisor.createReport());
            }
        }
        Fence fence = lease.getFence();
        AgentReport report =
                new AgentReport(
                        node,
                        address,
                        incarnation,
                        ++lastReportNumber,
                        fence.getEpoch(),
                        fence.getGeneration(),
                        workers.getSupervisors().stream()
                                .anyMatch(WorkerSupervisor::isHigherFenceRequired),
                        List.copyOf(sent.values()),
                        workers.listEnded(),
                        workers.listInDoubt());
        Guarded.onCompletionAsync(
                "report-answer",
                leader.call(report, ANSWER_TIMEOUT_MILLIS),
                loop,
                (answer, failure) -> handleAnswer(answer, failure, sent, sentAt));
    }

    private void handleAnswer(
            Message answer,
            Throwable failure,
            Map<WorkerIncarnation, WorkerReport> sent,
            long sentAt) {
        reportInProgress = false;
        if (answer instanceof LeaderNotice notice) {
            int order = notice.epoch().compareTo(getEpoch());
            leader.offer(notice, "another process");
            // A process that names an earlier epoch has not read its own claim yet. Counting it as
            // absent would replace a new leader while it takes over.
            if (order == 0) {
                observer.leaderAbsent();
            }
        } else if (LeaderClient.isConnectionRefused(failure)) {
            observer.leaderAbsent();
        }
        boolean granted =
                answer instanceof AgentGrant grant && grant.epoch().compareTo(getEpoch()) >= 0;
        if (granted != leaderAnswering) {
            leaderAnswering = granted;
            LOG.info(granted ? "leader-regained" : "leader-lost")
                    .with("epoch", getEpoch())
                    .with("cause", failure)
                    .write();
        }
        if (granted) {
            AgentGrant grant = (AgentGrant) answer;
            // First, so that no order of an earlier generation uses the lease granted here.
            adoptFence(Fence.of(grant.epoch(), grant.generation()));
            observer.leaderAnswered(grant.storeSilentMillis());
            interference.putAll(grant.harm());
            if (grant.leaseMillis() > 0) {
                lease.extend(sent.keySet(), sentAt, grant.leaseMillis());
                sent.forEach(this::acknowledge);
            }
        }
        if (failure != null) {
            loop.schedule(
                    this::reportUnlessInProgress,
                    ReportInterval.RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else if (changePending) {
            loop.schedule(this::reportIfChanged, CHANGE_BATCHING_MILLIS, TimeUnit.MILLISECONDS);
        } else if (ReportInterval.isLoadingState(answer)) {
            loop.schedule(
                    this::reportUnlessInProgress,
                    ReportInterval.LOADING_STATE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void reportUnlessInProgress() {
        if (!reportInProgress) {
            report();
        }
    }

    private void acknowledge(WorkerIncarnation worker, WorkerReport report) {
        WorkerSupervisor supervisor = workers.findSupervisor(worker);
        if (supervisor != null) {
            supervisor.reportAcknowledged(report);
        }
    }
}
