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

/** A machine: a worker, and beside it an agent process that may be started again. */
final class SimulatedMachine {

    /** The service of all workers. */
    static final String SERVICE = "s";

    private static final long HEARTBEAT_MILLIS = 400;
    private static final long DRAIN_MILLIS = 1500;
    private static final long BACK_SPREAD_MILLIS = 3000;
    private static final long BORN_MILLIS = 1_700_000_000_000L;

    private final SimulationEnvironment world;
    private final InvariantChecker referee;
    private final String name;
    private final Resources capacity;
    private final boolean guarded;
    private final SimulatedLeaderClient.LeaderDirectory directory;
    private final OneWayChannel.NetworkPath up;
    private final OneWayChannel.NetworkPath down;
    private final UnreliableWorkerClient path;
    private SimulationEnvironment.ProcessLoop process;
    private AgentNode agent;
    private SimulatedLeaderClient link;
    private int lives;
    private int processes;
    private int births;
    private long sequence;
    private boolean draining;
    private long backMillis = 1000;
    private boolean idKept;
    private final ObservedEvacuations operator = new ObservedEvacuations();

    SimulatedMachine(
            SimulationEnvironment world,
            InvariantChecker referee,
            String name,
            int cores,
            boolean guarded,
            SimulatedLeaderClient.LeaderDirectory directory) {
        this.world = world;
        this.referee = referee;
        this.name = name;
        this.capacity = new Resources(cores * 1000L, 10_000, 0);
        this.guarded = guarded;
        this.directory = directory;
        this.up = new OneWayChannel.NetworkPath(world);
        this.down = new OneWayChannel.NetworkPath(world);
        this.path = new UnreliableWorkerClient(world);
        startWorker();
        world.scheduleRepeating(HEARTBEAT_MILLIS, this::heartbeat);
    }

    HallId getHall() {
        return HallId.parse(name);
    }

    /** What the agent has read, and later processes of it have again at once. */
    ObservedEvacuations getObservedEvacuations() {
        return operator;
    }

    OneWayChannel.NetworkPath getUplink() {
        return up;
    }

    OneWayChannel.NetworkPath getDownlink() {
        return down;
    }

    UnreliableWorkerClient getWorkerClient() {
        return path;
    }

    /** Starts an agent process that knows of a leader. */
    void startAgent(LeaderNotice leader) {
        processes++;
        process = world.newProcess();
        SimulationEnvironment.ProcessLoop own = process;
        // What arrives after the end of the process finds its loop standing still.
        link =
                new SimulatedLeaderClient(
                        world, up, down, directory, message -> deliver(own, message));
        agent =
                new AgentNode(
                        name,
                        name + ":2",
                        Incarnation.of(name.hashCode() * 1000L + processes),
                        link,
                        path,
                        process.getClock(),
                        process.getLoop(),
                        new NoObserver(),
                        operator::getEvacuatedHalls);
        link.offer(leader, "simulated");
        agent.start();
        heartbeat();
    }

    /** Checks whether an agent process runs. */
    boolean hasAgent() {
        return process != null;
    }

    /** Ends the agent process; its memory is lost. */
    void endAgent() {
        world.trace("agent of " + name + " ends");
        process.end();
        process = null;
        link.close();
    }

    void notifyOfLeader(LeaderNotice leader) {
        if (process != null) {
            link.offer(leader, "simulated");
        }
    }

    /** Ends the worker's life without a word. */
    void crashWorker() {
        world.trace("CRASH of " + path.getWorker().getIncarnation());
        WorkerDescription last = describe(false);
        long lastSequence = sequence;
        path.getWorker().crash();
        // A heartbeat of the life that is over may come after those of the next one.
        world.schedule(
                world.draw(0, 5000),
                () -> {
                    if (process != null) {
                        agent.heartbeatReceived(last, lastSequence);
                    }
                });
    }

    /** Lets all further lives of the worker have the id of the present one. */
    void keepWorkerId() {
        idKept = true;
    }

    /** Sets after how long at least a worker is back that has crashed. */
    void setRestartDelayMillis(long millis) {
        backMillis = millis;
    }

    /** Ends the worker's life without a word; another one begins after some seconds. */
    void crashAndRestartWorker() {
        if (!path.getWorker().isUp()) {
            return;
        }
        crashWorker();
        world.schedule(
                world.draw(backMillis, backMillis + BACK_SPREAD_MILLIS),
                () -> {
                    if (!path.getWorker().isUp()) {
                        startWorker();
                    }
                });
    }

    /** The worker says that it leaves, and ends after a while. */
    void drainWorker() {
        SimulatedWorker leaving = path.getWorker();
        world.trace("leaves " + leaving.getIncarnation());
        draining = true;
        heartbeat();
        world.schedule(
                DRAIN_MILLIS,
                () -> {
                    if (path.getWorker() == leaving && leaving.isUp()) {
                        leaving.crash();
                        if (process != null) {
                            agent.workerLeft(leaving.getIncarnation().getId());
                        }
                    }
                });
    }

    /** Lets nothing of the agent run for a while. */
    void freezeAgent(long millis) {
        if (process != null) {
            process.freeze(millis);
        }
    }

    /** Suspends the machine of the agent; its worker is on another one and goes on. */
    void suspendAgent(long millis) {
        process.suspend(millis);
    }

    /** Ends all that hinders; the agent process is started by others. */
    void heal() {
        up.heal();
        down.heal();
        path.heal();
        if (!path.getWorker().isUp()) {
            startWorker();
        }
    }

    /** Begins another life of the worker, at the same address. */
    void startWorker() {
        lives += idKept ? 0 : 1;
        draining = false;
        sequence = 0;
        WorkerIncarnation id =
                WorkerIncarnation.of(WorkerId.parse(name + "-" + lives), drawBirth());
        SimulatedWorker life =
                new SimulatedWorker(world, referee, id, getHall(), capacity, guarded);
        life.setCrashHandler(this::crashAndRestartWorker);
        path.setWorker(life);
    }

    /** Births do not rise where ids are kept, as the time of day may be set back; none is equal. */
    private long drawBirth() {
        births++;
        return BORN_MILLIS + births + (idKept ? world.draw(0, 1000) * 1000 : 0);
    }

    /** The open channel to the leader goes silent for good. */
    void dropChannelMessages(boolean upwards, boolean downwards) {
        SimulatedChannel open = process == null ? null : link.getOpenChannel();
        if (open != null) {
            open.dropMessages(upwards, downwards);
        }
    }

    /** What the agent sends over its open channel comes later, while new channels work. */
    void delayChannel(long millis) {
        SimulatedChannel open = process == null ? null : link.getOpenChannel();
        if (open != null) {
            open.delay(millis);
        }
    }

    /** A leader's process has ended, and with it its channels. */
    void closeChannelTo(SimulatedLeader leader) {
        SimulatedChannel open = process == null ? null : link.getOpenChannel();
        if (open != null && open.getLeader() == leader) {
            open.close();
        }
    }

    // -----------------------------------------------------------------------
    private void heartbeat() {
        if (process != null && path.getWorker().isUp()) {
            agent.heartbeatReceived(describe(draining), ++sequence);
        }
    }

    private WorkerDescription describe(boolean leaves) {
        WorkerIncarnation id = path.getWorker().getIncarnation();
        long rest = leaves ? DRAIN_MILLIS : 0;
        return new WorkerDescription(
                id, SERVICE, name + ":1", capacity, HallId.parse(name), List.of(), leaves, rest);
    }

    private void deliver(SimulationEnvironment.ProcessLoop own, Message message) {
        if (own != process) {
            return;
        }
        if (message instanceof RunOrders orders
                && !(orders.starts().isEmpty() && orders.stops().isEmpty())) {
            world.trace(
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

    /** Hears nothing of a leader. */
    private static final class NoObserver implements LeaderObserver {

        @Override
        public void leaderAnswered(long storeSilentMillis) {}

        @Override
        public void leaderAbsent() {}
    }
}
