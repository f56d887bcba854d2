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

import java.util.List;
import org.standlink.HallId;
import org.standlink.Incarnation;
import org.standlink.Resources;
import org.standlink.election.LeaderObserver;
import org.standlink.job.WorkerDescription;
import org.standlink.job.WorkerId;
import org.standlink.job.WorkerIncarnation;
import org.standlink.runner.AgentNode;
import org.standlink.wire.LeaderNotice;
import org.standlink.wire.Message;
import org.standlink.wire.RunOrders;

/** A worker and its agent process, each of which can be ended and started again. */
final class SimulatedMachine {

    /** The service of all workers. */
    static final String SERVICE = "s";

    private static final long HEARTBEAT_MILLIS = 400;
    private static final long DRAIN_MILLIS = 1500;
    private static final long RESTART_DELAY_SPREAD_MILLIS = 3000;
    private static final long BASE_START_TIME_MILLIS = 1_700_000_000_000L;

    private final SimulationEnvironment environment;
    private final InvariantChecker checker;
    private final String name;
    private final Resources capacity;
    private final boolean enforcesCapacity;
    private final SimulatedLeaderClient.LeaderDirectory directory;
    private final OneWayChannel.NetworkPath uplink;
    private final OneWayChannel.NetworkPath downlink;
    private final UnreliableWorkerClient workerClient;
    private SimulationEnvironment.ProcessLoop process;
    private AgentNode agent;
    private SimulatedLeaderClient leaderClient;
    private int workerNumber;
    private int processCount;
    private int startCount;
    private long sequence;
    private boolean draining;
    private long restartDelayMillis = 1000;
    private boolean keepsWorkerId;
    private final ObservedEvacuations observedEvacuations = new ObservedEvacuations();

    SimulatedMachine(
            SimulationEnvironment environment,
            InvariantChecker checker,
            String name,
            int cores,
            boolean enforcesCapacity,
            SimulatedLeaderClient.LeaderDirectory directory) {
        this.environment = environment;
        this.checker = checker;
        this.name = name;
        this.capacity = new Resources(cores * 1000L, 10_000, 0);
        this.enforcesCapacity = enforcesCapacity;
        this.directory = directory;
        this.uplink = new OneWayChannel.NetworkPath(environment);
        this.downlink = new OneWayChannel.NetworkPath(environment);
        this.workerClient = new UnreliableWorkerClient(environment);
        startWorker();
        environment.scheduleRepeating(HEARTBEAT_MILLIS, this::heartbeat);
    }

    HallId getHall() {
        return HallId.parse(name);
    }

    /** Gets the evacuations that the agent has read; a restarted agent process has them at once. */
    ObservedEvacuations getObservedEvacuations() {
        return observedEvacuations;
    }

    OneWayChannel.NetworkPath getUplink() {
        return uplink;
    }

    OneWayChannel.NetworkPath getDownlink() {
        return downlink;
    }

    UnreliableWorkerClient getWorkerClient() {
        return workerClient;
    }

    /** Starts an agent process that knows the given leader. */
    void startAgent(LeaderNotice leader) {
        processCount++;
        process = environment.newProcess();
        SimulationEnvironment.ProcessLoop receivingProcess = process;
        // Messages that arrive after the end of this process are discarded.
        leaderClient =
                new SimulatedLeaderClient(
                        environment,
                        uplink,
                        downlink,
                        directory,
                        message -> deliver(receivingProcess, message));
        agent =
                new AgentNode(
                        name,
                        name + ":2",
                        Incarnation.of(name.hashCode() * 1000L + processCount),
                        leaderClient,
                        workerClient,
                        process.getClock(),
                        process.getLoop(),
                        new NoOpObserver(),
                        observedEvacuations::getEvacuatedHalls);
        leaderClient.offer(leader, "simulated");
        agent.start();
        heartbeat();
    }

    /** Checks whether an agent process runs. */
    boolean hasAgent() {
        return process != null;
    }

    /** Ends the agent process; its memory is lost. */
    void endAgent() {
        environment.trace("agent of " + name + " ended");
        process.end();
        process = null;
        leaderClient.close();
    }

    void notifyOfLeader(LeaderNotice leader) {
        if (process != null) {
            leaderClient.offer(leader, "simulated");
        }
    }

    /** Ends the incarnation of the worker without notice. */
    void crashWorker() {
        environment.trace("CRASH of " + workerClient.getWorker().getIncarnation());
        WorkerDescription lastDescription = describe(false);
        long lastSequence = sequence;
        workerClient.getWorker().crash();
        // A heartbeat of the ended incarnation may arrive after heartbeats of the next one.
        environment.schedule(
                environment.draw(0, 5000),
                () -> {
                    if (process != null) {
                        agent.heartbeatReceived(lastDescription, lastSequence);
                    }
                });
    }

    /** Makes all further incarnations of the worker keep the id of the current one. */
    void keepWorkerId() {
        keepsWorkerId = true;
    }

    /** Sets the minimum time until a crashed worker is restarted. */
    void setRestartDelayMillis(long millis) {
        restartDelayMillis = millis;
    }

    /** Ends the incarnation of the worker without notice and starts another one after a delay. */
    void crashAndRestartWorker() {
        if (!workerClient.getWorker().isUp()) {
            return;
        }
        crashWorker();
        environment.schedule(
                environment.draw(
                        restartDelayMillis, restartDelayMillis + RESTART_DELAY_SPREAD_MILLIS),
                () -> {
                    if (!workerClient.getWorker().isUp()) {
                        startWorker();
                    }
                });
    }

    /** Lets the worker announce that it is draining, and ends it after the drain time. */
    void drainWorker() {
        SimulatedWorker worker = workerClient.getWorker();
        environment.trace("draining " + worker.getIncarnation());
        draining = true;
        heartbeat();
        environment.schedule(
                DRAIN_MILLIS,
                () -> {
                    if (workerClient.getWorker() == worker && worker.isUp()) {
                        worker.crash();
                        if (process != null) {
                            agent.workerLeft(worker.getIncarnation().getId());
                        }
                    }
                });
    }

    /** Freezes the event loop of the agent for a time. */
    void freezeAgent(long millis) {
        if (process != null) {
            process.freeze(millis);
        }
    }

    /** Suspends the machine of the agent; the worker is on another machine and keeps running. */
    void suspendAgent(long millis) {
        process.suspend(millis);
    }

    /**
     * Ends all faults and restarts the worker; an agent process that has ended is not restarted.
     */
    void heal() {
        uplink.heal();
        downlink.heal();
        workerClient.heal();
        if (!workerClient.getWorker().isUp()) {
            startWorker();
        }
    }

    /** Starts another incarnation of the worker at the same address. */
    void startWorker() {
        workerNumber += keepsWorkerId ? 0 : 1;
        draining = false;
        sequence = 0;
        WorkerIncarnation incarnation =
                WorkerIncarnation.of(WorkerId.parse(name + "-" + workerNumber), drawStartTime());
        SimulatedWorker worker =
                new SimulatedWorker(
                        environment, checker, incarnation, getHall(), capacity, enforcesCapacity);
        worker.setCrashHandler(this::crashAndRestartWorker);
        workerClient.setWorker(worker);
    }

    /**
     * Draws a unique start time. With kept ids, start times do not increase, as the wall clock of a
     * machine may be set back.
     */
    private long drawStartTime() {
        startCount++;
        return BASE_START_TIME_MILLIS
                + startCount
                + (keepsWorkerId ? environment.draw(0, 1000) * 1000 : 0);
    }

    /** Drops all further messages of the open channel to the leader. */
    void dropChannelMessages(boolean fromAgent, boolean fromLeader) {
        SimulatedChannel channel = process == null ? null : leaderClient.getOpenChannel();
        if (channel != null) {
            channel.dropMessages(fromAgent, fromLeader);
        }
    }

    /** Delays what the agent sends over its open channel; new channels are not affected. */
    void delayChannel(long millis) {
        SimulatedChannel channel = process == null ? null : leaderClient.getOpenChannel();
        if (channel != null) {
            channel.delay(millis);
        }
    }

    /** Closes the open channel if it leads to the given leader, whose process has ended. */
    void closeChannelTo(SimulatedLeader leader) {
        SimulatedChannel channel = process == null ? null : leaderClient.getOpenChannel();
        if (channel != null && channel.getLeader() == leader) {
            channel.close();
        }
    }

    // -----------------------------------------------------------------------
    private void heartbeat() {
        if (process != null && workerClient.getWorker().isUp()) {
            agent.heartbeatReceived(describe(draining), ++sequence);
        }
    }

    private WorkerDescription describe(boolean isDraining) {
        WorkerIncarnation incarnation = workerClient.getWorker().getIncarnation();
        long remainingMillis = isDraining ? DRAIN_MILLIS : 0;
        return new WorkerDescription(
                incarnation,
                SERVICE,
                name + ":1",
                capacity,
                HallId.parse(name),
                List.of(),
                isDraining,
                remainingMillis);
    }

    private void deliver(SimulationEnvironment.ProcessLoop receivingProcess, Message message) {
        if (receivingProcess != process) {
            return;
        }
        if (message instanceof RunOrders orders
                && !(orders.starts().isEmpty() && orders.stops().isEmpty())) {
            environment.trace(
                    "orders of epoch "
                            + orders.epoch()
                            + " for "
                            + orders.worker()
                            + " start "
                            + orders.starts().stream().map(order -> order.run()).toList()
                            + " stop "
                            + orders.stops());
        }
        agent.handle(null, 0, message);
    }

    /** Ignores all notifications. */
    private static final class NoOpObserver implements LeaderObserver {

        @Override
        public void leaderAnswered(long storeSilentMillis) {}

        @Override
        public void leaderAbsent() {}
    }
}
