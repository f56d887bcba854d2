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
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import org.standlink.admin.HealthApi;
import org.standlink.election.Claim;
import org.standlink.election.LeaderLink;
import org.standlink.gateway.JobGateway;
import org.standlink.platform.CallerHttpServer;
import org.standlink.platform.ReadinessServer;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.EventLog;
import org.standlink.process.HttpService;
import org.standlink.process.PendingArrivals;
import org.standlink.process.ProcessEnd;
import org.standlink.process.ProcessThreads;
import org.standlink.wire.LeaderNotice;

/** {@code standlink platform entry}: runs an entry on the users' platform. */
final class PlatformEntryCommand extends AbstractServerCommand {

    /** The maximum number of callers that are answered at once; each occupies a thread. */
    private static final int CALLER_THREADS = 64;

    /** The number of threads of the readiness server, and of the metrics server. */
    private static final int SERVER_THREADS = 2;

    private static final EventLog LOG = EventLog.of(PlatformEntryCommand.class);

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings, JSON")
    private Path settingsFile;

    /** Whether a planned stop is in progress. */
    private volatile boolean leaving;

    /** Creates a command whose options are to be parsed. */
    PlatformEntryCommand() {}

    /**
     * Creates a command.
     *
     * @param settingsFile the settings
     */
    PlatformEntryCommand(Path settingsFile) {
        this.settingsFile = settingsFile;
    }

    @Override
    public int run() throws InterruptedException {
        PlatformSettings settings = PlatformSettings.readEntry(TextFiles.read(settingsFile));
        SettingsReload.install(settingsFile, settings, PlatformSettings::readEntry);
        LOG.info("starting").with("node", settings.node()).with("hall", settings.hall()).write();
        PlatformContext context = new PlatformContext(settings);
        LeaderLink leader =
                new LeaderLink(
                        context.getExecutor(),
                        (connection, call, message) -> {},
                        context.getClock());
        JobGateway gateway = new JobGateway(leader, context.getClock(), context.getRegistry());
        // Reading starts first, since creating the servers takes about half of the start-up.
        context.followOperatorTopic(new OperatorTopicReceiver(gateway::offer));
        context.followClaims(claim -> applyClaim(leader, claim));
        ConnectionDrain drain = new ConnectionDrain(context.getClock());
        CallerHttpServer callers =
                new CallerHttpServer(
                        settings.callers(),
                        ProcessThreads.newBounded("caller", CALLER_THREADS),
                        gateway,
                        drain);
        new ReadinessServer(
                settings.ready(),
                ProcessThreads.newBounded("ready", SERVER_THREADS),
                () -> gateway.isReady() && !leaving);
        HttpService metrics =
                new HttpService(
                        settings.metrics(), ProcessThreads.newBounded("metrics", SERVER_THREADS));
        HealthApi.addTo(metrics, context.getRegistry()::scrape, gateway::isReady);
        return serveUntilStopped(() -> drain(drain, callers.getPendingArrivals(), settings));
    }

    // -----------------------------------------------------------------------
    private static void applyClaim(LeaderLink leader, Claim claim) {
        if (claim.isHeld()) {
            leader.offer(new LeaderNotice(claim.epoch(), claim.address()), "store");
        } else {
            leader.leaderResigned(claim.epoch());
        }
    }

    private void drain(ConnectionDrain drain, PendingArrivals arrivals, PlatformSettings settings)
            throws InterruptedException {
        LOG.info("stopping").with("in-progress", drain.getInProgress()).write();
        leaving = true;
        drain.leave();
        drain.awaitDrained(
                settings.graceMillis(),
                TimeUnit.MILLISECONDS::sleep,
                arrivals,
                () -> LOG.info("stopped").with("in-progress", drain.getInProgress()).write());
        // Halts, since a request that arrives during the JDK's orderly exit would stay unanswered.
        Runtime.getRuntime().halt(ProcessEnd.getExitCode());
    }
}
