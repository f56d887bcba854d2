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
import org.standlink.election.LeaderLink;
import org.standlink.job.EvacuatedHalls;
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

    /** The threads of the heartbeats' and the metrics' servers. */
    private static final int SIDE_THREADS = 2;

    /** The time between two looks at the leader, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    /** How long resigning may take, in milliseconds; a call to the store takes 10. */
    private static final long RESIGN_MILLIS = 500;

    /** The log. */
    private static final EventLog LOG = EventLog.of(PlatformAgentCommand.class);

    /** The settings file. */
    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings, JSON")
    private Path settingsFile;

    /** The run of this process. */
    private final Incarnation self = Incarnation.ofRandom();

    /** The agent. */
    private AgentNode agent;

    /** What the operator has asked for. */
    private OperatorTopicReceiver operator;

    /** Follows claims. */
    private TopicFollower claims;

    /** Whether the others can reach this process, so that it may lead. */
    private volatile boolean listening;

    @Override
    public int run() throws InterruptedException {
        PlatformSettings settings = PlatformSettings.readAgent(TextFiles.read(settingsFile));
        SettingsReload.install(settingsFile, settings, PlatformSettings::readAgent);
        LOG.info("starting").with("node", settings.node()).with("incarnation", self).write();
        PlatformContext base = new PlatformContext(settings.store());
        String address =
                settings.listen().getAddress().getHostAddress() + ":" + settings.listen().getPort();
        LeaderLink leader = new LeaderLink(base.getExecutor(), this::fromLeader, base.getClock());
        Candidate candidate =
                new Candidate(
                        base.getStore(),
                        base.getClock(),
                        address,
                        self,
                        () -> claims == null ? -1 : claims.getPosition());
        agent =
                new AgentNode(
                        settings.node(),
                        address,
                        self,
                        leader,
                        new HttpWorkerClient(new PlatformHttpClient(base.getExecutor())),
                        base.getClock(),
                        base.getLoop(),
                        candidate,
                        this::getEvacuated);
        LeadershipManager seat =
                new LeadershipManager(
                        base.getStore(),
                        new CellTimes(
                                Math.min(settings.leaseMillis(), CellTimes.MAX_LEASE_MILLIS),
                                settings.statusMillis()),
                        base.getClock(),
                        base.getLoop(),
                        self,
                        leader,
                        this::getEvacuated);
        operator = new OperatorTopicReceiver(seat::offerConfiguration);
        // Reading begins before the servers are made, which takes about half of a start.
        base.followOperatorTopic(operator);
        claims = base.followClaims(claim -> claimed(claim, candidate, seat, base));
        new WireServer(
                settings.listen(),
                base.getExecutor(),
                new Hello(VmId.parse(settings.node()), self),
                seat::handle);
        new HeartbeatServer(
                settings.heartbeats(), ProcessThreads.newBounded("heartbeat", SIDE_THREADS), agent);
        listening = true;
        agent.start();
        Guarded.scheduleRepeating("candidate", base.getLoop(), LOOK_MILLIS, candidate::tick);
        serveMetrics(settings, base);
        return serveUntilStopped(() -> stop(seat));
    }

    // -----------------------------------------------------------------------
    private EvacuatedHalls getEvacuated() {
        return operator.getEvacuatedHalls();
    }

    private void claimed(
            Claim claim, Candidate candidate, LeadershipManager seat, PlatformContext base) {
        candidate.observeClaim(claim);
        seat.applyClaim(claim);
        if (listening) {
            // Whoever sees that nobody leads need not wait for the next look.
            base.getLoop().execute(candidate::tick);
        }
    }

    private static void serveMetrics(PlatformSettings settings, PlatformContext base) {
        HttpService metrics =
                new HttpService(
                        settings.metrics(), ProcessThreads.newBounded("metrics", SIDE_THREADS));
        HealthApi.addTo(metrics, base.getRegistry(), () -> true);
    }

    private void fromLeader(Connection connection, long call, Message message) {
        agent.handle(connection, call, message);
    }

    private static void stop(LeadershipManager seat) throws InterruptedException {
        LOG.info("stopping").write();
        try {
            seat.resign(RESIGN_MILLIS).get(RESIGN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException notResigned) {
            // The others find out by the silence.
            LOG.info("not-resigned").with("cause", notResigned).write();
        }
        LOG.info("stopped").write();
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
}
