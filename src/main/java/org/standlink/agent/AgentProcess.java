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
package org.standlink.agent;

import io.micrometer.core.instrument.MeterRegistry;
import java.net.http.HttpClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.bundle.Bundle;
import org.standlink.bundle.BundleHolder;
import org.standlink.bundle.ServiceSpecification;
import org.standlink.bundle.WorkerSpecification;
import org.standlink.lease.MonotonicClock;
import org.standlink.port.HttpLog;
import org.standlink.port.HttpVmList;
import org.standlink.port.HttpWorker;
import org.standlink.port.JsonHttpClient;
import org.standlink.port.VmListPort;
import org.standlink.process.Guarded;
import org.standlink.process.Polling;
import org.standlink.process.Timers;
import org.standlink.process.WorkFailures;
import org.standlink.wire.BundleAnswer;
import org.standlink.wire.BundleQuery;
import org.standlink.wire.Connection;
import org.standlink.wire.ForwardAnswer;
import org.standlink.wire.ForwardRequest;
import org.standlink.wire.Heartbeat;
import org.standlink.wire.HeartbeatAnswer;
import org.standlink.wire.Hello;
import org.standlink.wire.LeaderAnnouncement;
import org.standlink.wire.Message;
import org.standlink.wire.OutcomeQuery;
import org.standlink.wire.StatusQuery;
import org.standlink.wire.WireServer;

/**
 * The process of an agent: it connects the components and runs them by timers.
 *
 * <p>{@code AgentProcess} is thread-safe.
 */
public final class AgentProcess implements AutoCloseable {

    /** How long the peers may take to read the last answers, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 2000;

    private static final System.Logger LOGGER = System.getLogger(AgentProcess.class.getName());

    /**
     * The interval between ticks of the task supervisor and of the leader role, in milliseconds.
     */
    private static final long TICK_INTERVAL_MILLIS = 500;

    /** The interval between broadcasts of the load, in milliseconds. */
    private static final long LOAD_INTERVAL_MILLIS = 250;

    /** The timeout of a query for a bundle to a peer, in milliseconds. */
    private static final long BUNDLE_TIMEOUT_MILLIS = 2000;

    /** The interval between reads of the VM list, in milliseconds. */
    private static final long VM_LIST_INTERVAL_MILLIS = 1000;

    private final AgentSettings settings;
    private final Incarnation incarnation = Incarnation.ofRandom();
    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final Timers timers;
    private final MeterRegistry registry;
    private final VmListPort vmList;
    private final BundleHolder holder = new BundleHolder();
    private final TaskSupervisor supervisor;
    private final RequestHandler requests;
    private final LeaderRole leaderRole;

    /** Selects the reports of the next heartbeat; it is used by the heartbeat timer only. */
    private final ReportDelta reportDelta = new ReportDelta();

    private final RequestDrain requestDrain = new RequestDrain();
    private final WireServer server;

    /** Whether no new work is accepted, since the VM is leaving or the agent is being stopped. */
    private volatile boolean leaving;

    /** The last report that the leader has acknowledged, null if none. */
    private volatile SupervisorReport acknowledgedReport;

    /**
     * Creates an agent and starts its server and timers.
     *
     * @param settings the settings
     * @param executor the executor for connections and HTTP calls
     * @param scheduler the scheduler for timers, with at least four threads
     * @param registry the registry for metrics
     */
    public AgentProcess(
            AgentSettings settings,
            ExecutorService executor,
            ScheduledExecutorService scheduler,
            MeterRegistry registry) {
        this.settings = settings;
        this.timers = new Timers(scheduler, registry, "standlink.agent.failures");
        this.registry = registry;
        HttpClient client = JsonHttpClient.newClient(executor);
        JsonHttpClient platform = new JsonHttpClient(settings.platform(), client);
        this.vmList = new HttpVmList(platform);
        this.supervisor =
                new TaskSupervisor(
                        settings.vm(),
                        new HttpWorker(new JsonHttpClient(settings.worker(), client)),
                        clock);
        this.requests =
                new RequestHandler(
                        settings.vm(),
                        incarnation,
                        new HttpUpstream(client, settings.upstream()),
                        holder,
                        supervisor::isNodeLeaseLive,
                        clock,
                        scheduler,
                        registry);
        this.leaderRole =
                new LeaderRole(
                        settings,
                        incarnation,
                        new HttpLog(platform),
                        holder,
                        clock,
                        executor,
                        this::handle,
                        registry);
        this.server =
                new WireServer(
                        settings.listen(),
                        executor,
                        new Hello(settings.vm(), incarnation),
                        this::handle);
        addGauges();
        timers.scheduleRepeating("heartbeat", settings.heartbeatMillis(), this::sendHeartbeat);
        timers.scheduleRepeating("tasks", TICK_INTERVAL_MILLIS, this::tickTasks);
        timers.scheduleRepeating("leader", TICK_INTERVAL_MILLIS, () -> leaderRole.tick(leaving));
        timers.scheduleRepeating("load", LOAD_INTERVAL_MILLIS, this::broadcastLoad);
        timers.scheduleRepeating("list", VM_LIST_INTERVAL_MILLIS, this::readVmList);
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the holder of the bundle in force.
     *
     * @return the holder
     */
    public BundleHolder getBundleHolder() {
        return holder;
    }

    /**
     * Gets the port of the server.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Checks whether the agent accepts requests and tasks.
     *
     * @return true if it has a bundle and is not leaving
     */
    public boolean isReady() {
        return holder.getBundle() != null && !leaving;
    }

    /**
     * Stops the agent gracefully: it accepts no new work, completes running requests, and stops its
     * tasks and reports their checkpoints to the leader. Before the agent closes, it waits until
     * all connected peers have acknowledged that they send no more requests, at most for the drain
     * time of the settings.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain() throws InterruptedException {
        BooleanSupplier drained = () -> isDrained() && server.isLeavingAcknowledged();
        leave();
        server.awaitPendingAccepts(READ_TIMEOUT_MILLIS);
        server.leave();
        long deadlineMillis = clock.nowMillis() + settings.drainMillis();
        Polling.await(drained, clock, deadlineMillis);
        server.awaitPendingAccepts(READ_TIMEOUT_MILLIS);
        Polling.await(drained, clock, deadlineMillis);
        // From now on connections are refused, so peers know that nothing was sent.
        server.stopListening();
        Polling.await(drained, clock, deadlineMillis);
        server.shutDownOutput();
        Polling.await(
                server::hasNoConnections,
                clock,
                Math.min(deadlineMillis, clock.nowMillis() + READ_TIMEOUT_MILLIS));
        close();
    }

    @Override
    public void close() {
        timers.close();
        server.close();
        leaderRole.close();
    }

    // -----------------------------------------------------------------------
    private void leave() {
        if (!leaving) {
            LOGGER.log(System.Logger.Level.INFO, "leaving: no new requests or tasks are accepted");
        }
        leaving = true;
        requests.leave();
        broadcastLoad();
    }

    private boolean isDrained() {
        SupervisorReport report = acknowledgedReport;
        boolean stopsAcknowledged =
                supervisor.getRunningCount() == 0
                        && report != null
                        && report == supervisor.getReport();
        boolean requestsDrained =
                requests.getOutstanding() == 0 && requestDrain.isDrained(clock.nowMillis());
        return requestsDrained && (stopsAcknowledged || supervisor.getReport().tasks().isEmpty());
    }

    private void addGauges() {
        WorkFailures.registerCounter(registry);
        registry.gauge("standlink.agent.outstanding", requests, RequestHandler::getOutstanding);
        registry.gauge(
                "standlink.agent.tasks.running", supervisor, TaskSupervisor::getRunningCount);
        registry.gauge(
                "standlink.agent.bundle.version",
                holder,
                bundleHolder -> bundleHolder.getVersion().getValue());
    }

    // -----------------------------------------------------------------------
    private void sendHeartbeat() {
        if (!leaderRole.isLeaderKnown()) {
            return;
        }
        SupervisorReport report = supervisor.getReport();
        ReportDelta.Selection selection =
                reportDelta.selectNext(report.tasks(), leaderRole.getEpoch());
        long sentMillis = clock.nowMillis();
        Heartbeat heartbeat =
                new Heartbeat(
                        settings.vm(),
                        incarnation,
                        selection.number(),
                        selection.full(),
                        report.epoch(),
                        report.generation(),
                        holder.getVersion(),
                        report.revision(),
                        leaving,
                        report.workerReady(),
                        selection.tasks(),
                        selection.gone(),
                        requests.getMeter().createReports(sentMillis));
        Message answer = leaderRole.send(heartbeat);
        if (answer instanceof HeartbeatAnswer heartbeatAnswer) {
            acceptAnswer(heartbeatAnswer, sentMillis, report);
        }
    }

    private void acceptAnswer(
            HeartbeatAnswer heartbeatAnswer, long sentMillis, SupervisorReport report) {
        boolean isCurrent = heartbeatAnswer.epoch().compareTo(leaderRole.getEpoch()) >= 0;
        if (isCurrent && supervisor.accept(heartbeatAnswer, sentMillis)) {
            reportDelta.answerReceived(heartbeatAnswer.epoch());
            leaderRole.answerReceived(heartbeatAnswer);
            holder.offer(heartbeatAnswer.signedBundle(), heartbeatAnswer.bundle());
            acknowledgedReport = report;
        }
    }

    private void tickTasks() {
        Bundle bundle = holder.getBundle();
        if (bundle == null) {
            return;
        }
        Resources capacity =
                bundle.findWorker(settings.vm())
                        .map(WorkerSpecification::capacity)
                        .orElse(Resources.NONE);
        Resources reserved = Resources.NONE;
        for (ServiceSpecification service : bundle.services()) {
            if (service.upstreams().contains(settings.vm())) {
                reserved = reserved.plus(service.reserved());
            }
        }
        supervisor.tick(capacity, reserved, leaving);
    }

    private void broadcastLoad() {
        requests.rejectExpired();
        requests.observeBundle();
        server.broadcast(requests.getLoad());
    }

    private void readVmList() {
        boolean listedAsLeaving =
                vmList.list().stream()
                        .anyMatch(entry -> entry.vm().equals(settings.vm()) && entry.leaving());
        if (listedAsLeaving && !leaving) {
            leave();
        }
        if (listedAsLeaving) {
            requests.setUpstreamLeaving();
        }
    }

    // -----------------------------------------------------------------------
    private void handle(Connection connection, long call, Message message) {
        if (message instanceof ForwardRequest forward) {
            requestDrain.requestReceived(connection, clock.nowMillis() + forward.budgetMillis());
            answerWhenDone(connection, call, requests.forward(forward));
            requestBundle(connection);
        } else if (message instanceof OutcomeQuery query) {
            requestDrain.requestReceived(connection, clock.nowMillis());
            answerWhenDone(connection, call, requests.queryOutcome(query));
        } else if (message instanceof Heartbeat heartbeat) {
            connection.answer(call, leaderRole.answer(heartbeat));
        } else if (message instanceof LeaderAnnouncement announcement) {
            leaderRole.announcementReceived(announcement);
        } else if (message instanceof StatusQuery query) {
            connection.answer(call, leaderRole.answer(query));
        } else if (message instanceof BundleQuery query) {
            connection.answer(call, createBundleAnswer(query));
        }
    }

    private void answerWhenDone(
            Connection connection, long call, CompletableFuture<ForwardAnswer> outcome) {
        Guarded.onCompletion(
                "request",
                outcome,
                (answer, failure) -> {
                    try {
                        connection.answer(call, answer);
                    } finally {
                        requestDrain.requestAnswered();
                    }
                });
    }

    private void requestBundle(Connection connection) {
        if (holder.getBundle() == null) {
            Guarded.onCompletion(
                    "bundle-query",
                    connection.call(new BundleQuery(holder.getVersion()), BUNDLE_TIMEOUT_MILLIS),
                    (answer, failure) -> offerBundle(answer));
        }
    }

    private void offerBundle(Message answer) {
        if (answer instanceof BundleAnswer bundle) {
            holder.offer(bundle.signedBundle(), bundle.version());
        }
    }

    private BundleAnswer createBundleAnswer(BundleQuery query) {
        boolean isNewer = holder.getVersion().isAfter(query.held());
        return new BundleAnswer(holder.getVersion(), isNewer ? holder.getSignedText() : null);
    }
}
