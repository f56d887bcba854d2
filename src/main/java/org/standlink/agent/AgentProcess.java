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
import org.standlink.port.PlatformHttp;
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
 * A running agent: it wires the parts together and drives them by timers.
 *
 * <p>{@code AgentProcess} is thread-safe.
 */
public final class AgentProcess implements AutoCloseable {

    /** How long the others may take to read the last answers, in milliseconds. */
    private static final long READ_MILLIS = 2000;

    /** The log of changes of state. */
    private static final System.Logger LOGGER = System.getLogger(AgentProcess.class.getName());

    /** The time between two ticks of the tasks, and of the leader, in milliseconds. */
    private static final long TICK_MILLIS = 500;

    /** The time between two broadcasts of the load, in milliseconds. */
    private static final long LOAD_MILLIS = 250;

    /** How long to wait for a bundle from a peer, in milliseconds. */
    private static final long BUNDLE_MILLIS = 2000;

    /** The time between two readings of the VM list, in milliseconds. */
    private static final long LIST_MILLIS = 1000;

    /** The settings. */
    private final AgentSettings settings;

    /** The run of this process. */
    private final Incarnation incarnation = Incarnation.ofRandom();

    /** The clock. */
    private final MonotonicClock clock = MonotonicClock.ofSystem();

    /** The timers. */
    private final Timers timers;

    /** Where counters go. */
    private final MeterRegistry registry;

    /** The platform's VM list. */
    private final VmListPort vmList;

    /** The bundle in force. */
    private final BundleHolder holder = new BundleHolder();

    /** The tasks. */
    private final TaskSupervisor supervisor;

    /** The requests. */
    private final RequestHandler requests;

    /** The leader role, and the way to the leader. */
    private final LeaderRole leaderRole;

    /** What the next heartbeat tells; used by its timer alone. */
    private final ReportDelta delta = new ReportDelta();

    /** Requests that are not over for those who sent them. */
    private final RequestDrain openRequests = new RequestDrain();

    /** The server. */
    private final WireServer server;

    /** Whether the VM is leaving. */
    private volatile boolean leaving;

    /** The reports that the leader has answered last, null if none. */
    private volatile SupervisorReport answeredReport;

    /**
     * Constructor, which starts everything.
     *
     * @param settings the settings
     * @param executor where threads come from
     * @param scheduler the timers, with at least four threads
     * @param registry where counters go
     */
    public AgentProcess(
            AgentSettings settings,
            ExecutorService executor,
            ScheduledExecutorService scheduler,
            MeterRegistry registry) {
        this.settings = settings;
        this.timers = new Timers(scheduler, registry, "standlink.agent.failures");
        this.registry = registry;
        HttpClient client = PlatformHttp.newClient(executor);
        PlatformHttp platform = new PlatformHttp(settings.platform(), client);
        this.vmList = new HttpVmList(platform);
        this.supervisor =
                new TaskSupervisor(
                        settings.vm(),
                        new HttpWorker(new PlatformHttp(settings.worker(), client)),
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
        timers.every("heartbeat", settings.heartbeatMillis(), this::heartbeat);
        timers.every("tasks", TICK_MILLIS, this::tickTasks);
        timers.every("leader", TICK_MILLIS, () -> leaderRole.tick(leaving));
        timers.every("load", LOAD_MILLIS, this::broadcastLoad);
        timers.every("list", LIST_MILLIS, this::readList);
    }

    // -----------------------------------------------------------------------
    /**
     * Gets the bundle in force.
     *
     * @return the holder
     */
    public BundleHolder getHolder() {
        return holder;
    }

    /**
     * Gets the port listened on.
     *
     * @return the port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Checks whether the agent takes work.
     *
     * @return true if it has a bundle and is not leaving
     */
    public boolean isReady() {
        return holder.getBundle() != null && !leaving;
    }

    /**
     * Ends in order: no new work, requests end, tasks are checkpointed and handed back. It ends
     * only once everybody who is connected has answered that it sends no more requests.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain() throws InterruptedException {
        BooleanSupplier drained = () -> isDrained() && server.isLeavingAcknowledged();
        leave();
        server.awaitPendingAccepts(READ_MILLIS);
        server.leave();
        long until = clock.nowMillis() + settings.drainMillis();
        Polling.await(drained, clock, until);
        server.awaitPendingAccepts(READ_MILLIS);
        Polling.await(drained, clock, until);
        // Whoever connects from now on is refused and knows that nothing was sent.
        server.stopListening();
        Polling.await(drained, clock, until);
        server.shutDownOutput();
        Polling.await(
                server::hasNoConnections, clock, Math.min(until, clock.nowMillis() + READ_MILLIS));
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
            LOGGER.log(System.Logger.Level.INFO, "leaving: no new work from now on");
        }
        leaving = true;
        requests.leave();
        broadcastLoad();
    }

    private boolean isDrained() {
        SupervisorReport report = answeredReport;
        boolean tasksHandedBack =
                supervisor.getRunning() == 0 && report != null && report == supervisor.getReport();
        boolean requestsOver =
                requests.getOutstanding() == 0 && openRequests.isDrained(clock.nowMillis());
        return requestsOver && (tasksHandedBack || supervisor.getReport().tasks().isEmpty());
    }

    private void addGauges() {
        WorkFailures.showIn(registry);
        registry.gauge("standlink.agent.outstanding", requests, RequestHandler::getOutstanding);
        registry.gauge("standlink.agent.tasks.running", supervisor, TaskSupervisor::getRunning);
        registry.gauge(
                "standlink.agent.bundle.version",
                holder,
                present -> present.getVersion().getValue());
    }

    // -----------------------------------------------------------------------
    private void heartbeat() {
        if (!leaderRole.isLeaderKnown()) {
            return;
        }
        SupervisorReport report = supervisor.getReport();
        ReportDelta.Selection part = delta.selectNext(report.tasks(), leaderRole.getEpoch());
        long asked = clock.nowMillis();
        Heartbeat heartbeat =
                new Heartbeat(
                        settings.vm(),
                        incarnation,
                        part.number(),
                        part.full(),
                        report.epoch(),
                        report.generation(),
                        holder.getVersion(),
                        report.revision(),
                        leaving,
                        report.workerReady(),
                        part.tasks(),
                        part.gone(),
                        requests.getMeter().createReports(asked));
        Message answer = leaderRole.send(heartbeat);
        if (answer instanceof HeartbeatAnswer granted) {
            take(granted, asked, report);
        }
    }

    private void take(HeartbeatAnswer granted, long asked, SupervisorReport report) {
        boolean current = granted.epoch().compareTo(leaderRole.getEpoch()) >= 0;
        if (current && supervisor.accept(granted, asked)) {
            delta.answerReceived(granted.epoch());
            leaderRole.answerReceived(granted);
            holder.offer(granted.signedBundle(), granted.bundle());
            answeredReport = report;
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

    private void readList() {
        boolean listed =
                vmList.list().stream()
                        .anyMatch(entry -> entry.vm().equals(settings.vm()) && entry.leaving());
        if (listed && !leaving) {
            leave();
        }
        if (listed) {
            requests.setUpstreamLeaving();
        }
    }

    // -----------------------------------------------------------------------
    private void handle(Connection connection, long call, Message message) {
        if (message instanceof ForwardRequest forward) {
            openRequests.requestReceived(connection, clock.nowMillis() + forward.budgetMillis());
            answerWhenDone(connection, call, requests.forward(forward));
            askForBundle(connection);
        } else if (message instanceof OutcomeQuery query) {
            openRequests.requestReceived(connection, clock.nowMillis());
            answerWhenDone(connection, call, requests.queryOutcome(query));
        } else if (message instanceof Heartbeat heartbeat) {
            connection.answer(call, leaderRole.answer(heartbeat));
        } else if (message instanceof LeaderAnnouncement news) {
            leaderRole.announcementReceived(news);
        } else if (message instanceof StatusQuery query) {
            connection.answer(call, leaderRole.answer(query));
        } else if (message instanceof BundleQuery query) {
            connection.answer(call, bundleFor(query));
        }
    }

    private void answerWhenDone(
            Connection connection, long call, CompletableFuture<ForwardAnswer> outcome) {
        Guarded.then(
                "request",
                outcome,
                (answer, failure) -> {
                    try {
                        connection.answer(call, answer);
                    } finally {
                        openRequests.requestAnswered();
                    }
                });
    }

    private void askForBundle(Connection connection) {
        if (holder.getBundle() == null) {
            Guarded.then(
                    "bundle-query",
                    connection.call(new BundleQuery(holder.getVersion()), BUNDLE_MILLIS),
                    (answer, failure) -> offer(answer));
        }
    }

    private void offer(Message answer) {
        if (answer instanceof BundleAnswer bundle) {
            holder.offer(bundle.signedBundle(), bundle.version());
        }
    }

    private BundleAnswer bundleFor(BundleQuery query) {
        boolean newer = holder.getVersion().isAfter(query.held());
        return new BundleAnswer(holder.getVersion(), newer ? holder.getSignedText() : null);
    }
}
