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
package org.standlink.command;

import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.kohsuke.args4j.Option;
import org.standlink.Incarnation;
import org.standlink.VmId;
import org.standlink.admin.HealthApi;
import org.standlink.cell.CellTimes;
import org.standlink.cell.LeadershipManager;
import org.standlink.election.Candidate;
import org.standlink.election.Claim;
import org.standlink.election.ClaimWriter;
import org.standlink.election.LeaderLink;
import org.standlink.job.EvacuatedHalls;
import org.standlink.ordering.MicrometerOrderMetrics;
import org.standlink.platform.HeartbeatServer;
import org.standlink.platform.HttpWorkerClient;
import org.standlink.platform.PlatformHttpClient;
import org.standlink.process.EventLog;
import org.standlink.process.Guarded;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.runner.AgentNode;
import org.standlink.store.TopicFollower;
import org.standlink.wire.Connection;
import org.standlink.wire.Hello;
import org.standlink.wire.Message;
import org.standlink.wire.WireServer;

/** {@code standlink platform agent}: runs an agent on the users' platform. */
final class PlatformAgentCommand extends AbstractServerCommand {

    /** The number of threads of the heartbeat server, and of the metrics server. */
    private static final int SERVER_THREADS = 2;

    /** The interval between two checks of the leader, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** The maximum duration of a resignation, in milliseconds; a call to the store takes 10 ms. */
    private static final long RESIGN_TIMEOUT_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(PlatformAgentCommand.class);

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings, JSON")
    private Path settingsFile;

    /** The incarnation of this process. */
    private final Incarnation incarnation = Incarnation.ofRandom();

    private AgentNode agent;

    private OperatorTopicReceiver operatorTopic;

    private volatile TopicFollower claimFollower;

    /** Whether the other processes can connect to this one, so that it may lead. */
    private volatile boolean listening;

    /** Creates a command whose options are to be parsed. */
    PlatformAgentCommand() {}

    /**
     * Creates a command.
     *
     * @param settingsFile the settings
     */
    PlatformAgentCommand(Path settingsFile) {
        this.settingsFile = settingsFile;
    }

    @Override
    public int run() throws InterruptedException {
        PlatformSettings settings = PlatformSettings.readAgent(TextFiles.read(settingsFile));
        SettingsReload.install(settingsFile, settings, PlatformSettings::readAgent);
        LOG.info("starting").with("node", settings.node()).with("incarnation", incarnation).write();
        PlatformContext context = new PlatformContext(settings);
        String address =
                settings.listen().getAddress().getHostAddress() + ":" + settings.listen().getPort();
        LeaderLink leader =
                new LeaderLink(
                        context.getExecutor(), this::handleLeaderMessage, context.getClock());
        ClaimWriter claims = new ClaimWriter(context.getStore(), this::getClaimsRead);
        Candidate candidate =
                new Candidate(context.getStore(), context.getClock(), address, incarnation, claims);
        agent =
                new AgentNode(
                        settings.node(),
                        address,
                        incarnation,
                        leader,
                        new HttpWorkerClient(new PlatformHttpClient(context.getExecutor())),
                        context.getClock(),
                        context.getLoop(),
                        candidate,
                        this::getEvacuatedHalls);
        LeadershipManager leadership = createLeadership(settings, context, claims, leader);
        operatorTopic = new OperatorTopicReceiver(leadership::offerConfiguration);
        // Reading starts first, since creating the servers takes about half of the start-up.
        context.followOperatorTopic(operatorTopic);
        claimFollower =
                context.followClaims(claim -> handleClaim(claim, candidate, leadership, context));
        new WireServer(
                settings.listen(),
                context.getExecutor(),
                new Hello(VmId.parse(settings.node()), incarnation),
                leadership::handle);
        new HeartbeatServer(
                settings.heartbeats(),
                ProcessThreads.newBounded("heartbeat", SERVER_THREADS),
                agent);
        listening = true;
        agent.start();
        Guarded.scheduleRepeating(
                "candidate", context.getLoop(), CHECK_INTERVAL_MILLIS, candidate::tick);
        serveMetrics(settings, context);
        return serveUntilStopped(() -> stop(leadership));
    }

    // -----------------------------------------------------------------------
    private static CellTimes timesOf(PlatformSettings settings) {
        return new CellTimes(
                Math.min(settings.leaseMillis(), CellTimes.MAX_LEASE_MILLIS),
                settings.statusMillis());
    }

    private EvacuatedHalls getEvacuatedHalls() {
        return operatorTopic.getEvacuatedHalls();
    }

    private LeadershipManager createLeadership(
            PlatformSettings settings,
            PlatformContext context,
            ClaimWriter claims,
            LeaderLink leader) {
        return new LeadershipManager(
                context.getStore(),
                timesOf(settings),
                settings.contention(),
                new AdmissionMetrics(context.newLateBoundMeters()),
                new MicrometerOrderMetrics(context.newLateBoundMeters()),
                context.getClock(),
                context.getLoop(),
                incarnation,
                claims,
                leader,
                this::getEvacuatedHalls);
    }

    private long getClaimsRead() {
        TopicFollower follower = claimFollower;
        return follower == null ? -1 : follower.getPosition();
    }

    private void handleClaim(
            Claim claim,
            Candidate candidate,
            LeadershipManager leadership,
            PlatformContext context) {
        candidate.observeClaim(claim);
        leadership.applyClaim(claim);
        if (listening) {
            // A vacant leadership is claimed at once, not only at the next check.
            context.getLoop().execute(candidate::tick);
        }
    }

    private static void serveMetrics(PlatformSettings settings, PlatformContext context) {
        HttpService metrics =
                new HttpService(
                        settings.metrics(), ProcessThreads.newBounded("metrics", SERVER_THREADS));
        HealthApi.addTo(metrics, () -> context.getRegistry().scrape(), () -> true);
    }

    private void handleLeaderMessage(Connection connection, long call, Message message) {
        agent.handle(connection, call, message);
    }

    private static void stop(LeadershipManager leadership) throws InterruptedException {
        LOG.info("stopping").write();
        try {
            leadership
                    .resign(RESIGN_TIMEOUT_MILLIS)
                    .get(RESIGN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failure) {
            // The other agents notice that this leader no longer responds.
            LOG.info("not-resigned").with("cause", failure).write();
        }
        LOG.info("stopped").write();
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
    }
}
