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

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import org.standlink.Epoch;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.Resources;
import org.standlink.VmId;
import org.standlink.admin.HealthApi;
import org.standlink.cell.CellTimes;
import org.standlink.cell.LeaderSeat;
import org.standlink.election.Candidate;
import org.standlink.election.Claim;
import org.standlink.election.LeaderLink;
import org.standlink.gateway.JobGateway;
import org.standlink.job.JobDefinition;
import org.standlink.job.StepDefinition;
import org.standlink.platform.CallerHttp;
import org.standlink.platform.HeartbeatServer;
import org.standlink.platform.HttpCaller;
import org.standlink.platform.HttpWorkerCalls;
import org.standlink.platform.ReadyServer;
import org.standlink.process.ConnectionDrain;
import org.standlink.process.HttpService;
import org.standlink.process.ProcessThreads;
import org.standlink.runner.AgentNode;
import org.standlink.wire.Hello;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.SubmitJob;
import org.standlink.wire.WireServer;

/**
 * {@code standlink platform rehearse}: loads the classes that an entry and an agent need, so that
 * the build can put them into a class archive and processes start faster.
 *
 * <p>It listens on free ports of the loopback address, makes one call of each kind and ends.
 */
final class PlatformRehearseCommand implements Command {

    /** A free port of the loopback address. */
    private static final InetSocketAddress FREE = new InetSocketAddress("127.0.0.1", 0);

    /** The threads of each server. */
    private static final int THREADS = 2;

    /** How long the answer of a call is waited for, in milliseconds. */
    private static final long CALL_MILLIS = 500;

    @Override
    public int run() throws InterruptedException {
        ExecutorService threads = ProcessThreads.newBounded("rehearse", THREADS);
        HttpService nothing = new HttpService(FREE, threads);
        PlatformBase base = new PlatformBase("127.0.0.1:" + nothing.getPort());
        HealthApi.addTo(nothing, base.getRegistry(), () -> true);
        rehearseEntry(base, threads);
        rehearseAgent(base, threads);
        base.followConfiguration(configuration -> {});
        base.followClaims(claim -> {});
        Thread.sleep(CALL_MILLIS);
        base.getRegistry().scrape();
        nothing.close();
        base.close();
        return 0;
    }

    // -----------------------------------------------------------------------
    private static void rehearseEntry(PlatformBase base, ExecutorService threads) {
        LeaderLink leader =
                new LeaderLink(
                        base.getExecutor(), (connection, call, message) -> {}, base.getClock());
        JobGateway gateway = new JobGateway(leader, base.getClock(), base.getRegistry());
        ConnectionDrain drain = new ConnectionDrain(base.getClock());
        CallerHttp callers = new CallerHttp(FREE, threads, gateway, drain);
        ReadyServer ready = new ReadyServer(FREE, threads, gateway::isReady);
        callers.close();
        ready.close();
    }

    private static void rehearseAgent(PlatformBase base, ExecutorService threads) {
        LeaderLink leader =
                new LeaderLink(
                        base.getExecutor(), (connection, call, message) -> {}, base.getClock());
        CellTimes times = new CellTimes(CALL_MILLIS, CALL_MILLIS);
        Incarnation self = Incarnation.ofRandom();
        LeaderSeat seat =
                new LeaderSeat(
                        base.getStore(), times, base.getClock(), base.getLoop(), self, leader);
        Hello hello = new Hello(VmId.parse("rehearsal"), self);
        WireServer server = new WireServer(FREE, base.getExecutor(), hello, seat::handle);
        String address = "127.0.0.1:" + server.getPort();
        seat.claimed(new Claim(Epoch.of(1), address, self));
        leader.offer(new LeaderNotice(Epoch.of(1), address), "rehearsal");
        AgentNode agent =
                new AgentNode(
                        "rehearsal",
                        address,
                        self,
                        leader,
                        new HttpWorkerCalls(new HttpCaller(base.getExecutor())),
                        base.getClock(),
                        base.getLoop(),
                        candidate(base, self));
        HeartbeatServer heartbeats = new HeartbeatServer(FREE, threads, agent);
        agent.start();
        submit(leader);
        heartbeats.close();
        server.close();
    }

    private static Candidate candidate(PlatformBase base, Incarnation self) {
        return new Candidate(base.getStore(), base.getClock(), "127.0.0.1:1", self, () -> -1);
    }

    private static void submit(LeaderLink leader) {
        StepDefinition step =
                new StepDefinition(
                        1,
                        Resources.NONE,
                        0,
                        List.of(),
                        false,
                        false,
                        false,
                        "",
                        "",
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        0);
        JobDefinition job =
                new JobDefinition(JobId.parse("job"), "queue", "", List.of(step), 0, 0, 0);
        try {
            leader.call(new SubmitJob(job), CALL_MILLIS).join();
        } catch (CompletionException expected) {
            // There is no store behind this leader; only the classes matter.
            return;
        }
    }
}
