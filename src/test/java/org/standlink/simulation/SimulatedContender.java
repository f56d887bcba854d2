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
package org.standlink.simulation;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.standlink.Incarnation;
import org.standlink.JobId;
import org.standlink.admission.AdmissionListener;
import org.standlink.cell.CellTimes;
import org.standlink.cell.ContentionOptions;
import org.standlink.cell.LeadershipManager;
import org.standlink.election.Candidate;
import org.standlink.election.Claim;
import org.standlink.election.ClaimWriter;
import org.standlink.election.LeaderLink;
import org.standlink.job.EvacuatedHalls;
import org.standlink.job.JobDefinition;
import org.standlink.ordering.OrderMetrics;
import org.standlink.store.FakeKeyedStore;
import org.standlink.store.KeyedRecord;
import org.standlink.store.Topic;
import org.standlink.store.TopicFollower;
import org.standlink.wire.JobAnswer;
import org.standlink.wire.Message;
import org.standlink.wire.MessageChannel;
import org.standlink.wire.SubmitJob;

/** A simulated agent process, as far as it claims the leadership, leads and resigns. */
final class SimulatedContender {

    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long RESIGN_TIMEOUT_MILLIS = 1000;

    private final SimulationEnvironment environment;
    private final SimulationEnvironment.ProcessLoop process;
    private final SimulatedStoreClient store;
    private final Function<String, SimulatedContender> processes;
    private final String address;
    private final Incarnation incarnation;
    private final Candidate candidate;
    private final LeadershipManager leadership;
    private final TopicFollower claims;
    private Claim newestClaim = Claim.NONE;
    private long storeLostSinceMillis;
    private boolean ended;

    /** Starts a process; the function finds the process at an address. */
    SimulatedContender(
            SimulationEnvironment environment,
            FakeKeyedStore sharedStore,
            String address,
            Incarnation incarnation,
            Function<String, SimulatedContender> processes) {
        this.environment = environment;
        this.process = environment.newProcess();
        this.store =
                new SimulatedStoreClient(environment, sharedStore, new StoreFaults(environment));
        this.address = address;
        this.incarnation = incarnation;
        this.processes = processes;
        this.claims =
                new TopicFollower(
                        store, Topic.CLAIMS, process.getLoop(), process.getLoop(), this::receive);
        ClaimWriter writer = new ClaimWriter(store, claims::getPosition);
        this.candidate = new Candidate(store, process.getClock(), address, incarnation, writer);
        this.leadership =
                new LeadershipManager(
                        store,
                        new CellTimes(CellTimes.MAX_LEASE_MILLIS, Integer.MAX_VALUE),
                        ContentionOptions.NONE,
                        AdmissionListener.NONE,
                        OrderMetrics.NONE,
                        process.getClock(),
                        process.getLoop(),
                        incarnation,
                        writer,
                        new LeaderLink(
                                process.getLoop(), (from, call, message) -> {}, process.getClock()),
                        () -> EvacuatedHalls.NONE);
        leadership.offerConfiguration(SimulatedCell.CONFIGURATION);
        claims.start();
        process.getLoop()
                .scheduleWithFixedDelay(
                        this::check,
                        CHECK_INTERVAL_MILLIS,
                        CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    String getAddress() {
        return address;
    }

    SimulatedStoreClient getStore() {
        return store;
    }

    SimulationEnvironment.ProcessLoop getProcess() {
        return process;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Checks whether the newest claim that this process has read is its own. */
    boolean leads() {
        return newestClaim.isHeld() && newestClaim.holder().equals(incarnation);
    }

    /** Partitions the process from the store for a time. */
    void cutOff(long millis) {
        storeLostSinceMillis = environment.now();
        store.getOwnFaults().makeUnavailable(millis);
    }

    /** Submits a job, whose ID is added to a set if it is accepted. */
    void submit(JobDefinition job, Set<JobId> accepted) {
        MessageChannel channel =
                new MessageChannel() {
                    @Override
                    public void send(Message message) {}

                    @Override
                    public void answer(long call, Message message) {
                        if (message instanceof JobAnswer answer
                                && answer.result() == JobAnswer.Result.DONE) {
                            accepted.add(job.id());
                        }
                    }
                };
        leadership.handle(channel, 1, new SubmitJob(job));
    }

    /** Stops the process in order: it resigns and then ends. */
    void stop() {
        process.getLoop().execute(() -> leadership.resign(RESIGN_TIMEOUT_MILLIS));
        process.getLoop().schedule(this::end, RESIGN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the process without notice. */
    void end() {
        ended = true;
        claims.close();
        process.end();
    }

    // -----------------------------------------------------------------------
    private void receive(KeyedRecord record) {
        Claim claim = Claim.of(record);
        if (claim.epoch().compareTo(newestClaim.epoch()) >= 0) {
            newestClaim = claim;
        }
        candidate.observeClaim(claim);
        leadership.applyClaim(claim);
        process.getLoop().execute(candidate::tick);
    }

    /** Observes the leader as the reports of an agent do, and decides whether to claim. */
    private void check() {
        SimulatedContender leader = processes.apply(newestClaim.address());
        if (leader == null || !leader.leads()) {
            candidate.leaderAbsent();
        } else if (!leader.process.isFrozen()) {
            boolean lost = leader.store.getOwnFaults().getUnavailableMillis() > 0;
            candidate.leaderAnswered(lost ? environment.now() - leader.storeLostSinceMillis : 0);
        }
        candidate.tick();
    }
}
